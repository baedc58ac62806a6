package org.cornelspoke.bench.scenario;

import java.util.PriorityQueue;

/** Discrete-event scheduler that runs the actions of a simulation in virtual time. */
final class VirtualTime {

  static final long MILLI = 1_000_000L;
  static final long SECOND = 1_000_000_000L;

  private record Event(long atNanos, long sequenceNumber, Runnable action)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(sequenceNumber, other.sequenceNumber);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nowNanos;
  private long nextSequenceNumber;

  long now() {
    return nowNanos;
  }

  void after(long delayNanos, Runnable action) {
    events.add(new Event(nowNanos + Math.max(0, delayNanos), nextSequenceNumber++, action));
  }

  void at(double seconds, Runnable action) {
    after((long) (seconds * SECOND) - nowNanos, action);
  }

  void every(long intervalNanos, Runnable action) {
    after(
        intervalNanos,
        () -> {
          action.run();
          every(intervalNanos, action);
        });
  }

  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
      Event event = events.poll();
      nowNanos = event.atNanos();
      event.action().run();
    }
    nowNanos = endNanos;
  }
}
