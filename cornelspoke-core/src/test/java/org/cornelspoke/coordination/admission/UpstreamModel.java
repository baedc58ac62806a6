package org.cornelspoke.coordination.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.PriorityQueue;

/** Virtual-time upstream with real slots, an internal FIFO queue and exponential service times. */
final class UpstreamModel {

  private record Event(long atNanos, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  private record Job(long workNanos, Runnable done) {}

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Deque<Job> queue = new ArrayDeque<>();
  private int slots;
  private int busy;
  private long nowNanos;
  private long nextNumber;

  UpstreamModel(int slots) {
    this.slots = slots;
  }

  long nowNanos() {
    return nowNanos;
  }

  void setSlots(int slots) {
    this.slots = slots;
  }

  void after(long delayNanos, Runnable action) {
    events.add(new Event(nowNanos + delayNanos, nextNumber++, action));
  }

  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
      Event event = events.poll();
      nowNanos = event.atNanos();
      event.action().run();
    }
    nowNanos = endNanos;
  }

  void serve(long workNanos, Runnable done) {
    queue.add(new Job(workNanos, done));
    startNext();
  }

  private void startNext() {
    while (busy < slots && !queue.isEmpty()) {
      Job job = queue.poll();
      busy++;
      after(
          job.workNanos(),
          () -> {
            busy--;
            job.done().run();
            startNext();
          });
    }
  }
}
