package org.cornelspoke.coordination.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.PriorityQueue;

/** Discrete-event simulation of an upstream with a given number of slots and a FIFO queue. */
final class UpstreamModel {

  private record Event(long atNanos, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int timeOrder = Long.compare(atNanos, other.atNanos);
      return timeOrder != 0 ? timeOrder : Long.compare(sequence, other.sequence);
    }
  }

  private record Job(long workNanos, Runnable onDone) {}

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Deque<Job> queue = new ArrayDeque<>();
  private int slots;
  private int busySlots;
  private long nowNanos;
  private long nextSequence;

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
    events.add(new Event(nowNanos + delayNanos, nextSequence++, action));
  }

  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
      Event event = events.poll();
      nowNanos = event.atNanos();
      event.action().run();
    }
    nowNanos = endNanos;
  }

  void serve(long workNanos, Runnable onDone) {
    queue.add(new Job(workNanos, onDone));
    startNext();
  }

  private void startNext() {
    while (busySlots < slots && !queue.isEmpty()) {
      Job job = queue.poll();
      busySlots++;
      after(
          job.workNanos(),
          () -> {
            busySlots--;
            job.onDone().run();
            startNext();
          });
    }
  }
}
