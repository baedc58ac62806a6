package org.cornelspoke.coordination.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import org.apache.commons.math3.random.RandomGenerator;

/** Simulates true time, processes with their own clocks, and FIFO connections that break. */
final class SimulatedNetwork {

  private record Event(long atNanos, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final RandomGenerator random;
  private long nowNanos;
  private long nextNumber;

  SimulatedNetwork(RandomGenerator random) {
    this.random = random;
  }

  long nowNanos() {
    return nowNanos;
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

  /**
   * A monotonic clock with a random origin and a relative speed error of at most the given value.
   */
  final class Clock {
    private final long origin = random.nextInt(1_000_000_000);
    private final double speed;

    Clock(double maxError) {
      speed = 1 + maxError * (2 * random.nextDouble() - 1);
    }

    long now() {
      return origin + (long) (nowNanos * speed);
    }
  }

  /**
   * A connection that delivers in order. When it breaks, messages in flight are lost, delivered
   * late and out of order, or delivered twice.
   */
  final class Connection {
    private final long latencyNanos;
    private final List<Runnable> inFlight = new ArrayList<>();
    private long lastDeliveryNanos;
    private boolean open = true;

    Connection(long latencyNanos) {
      this.latencyNanos = latencyNanos;
    }

    boolean isOpen() {
      return open;
    }

    void send(Runnable delivery) {
      if (!open) {
        return;
      }
      long at = nowNanos + latencyNanos + (long) (random.nextDouble() * latencyNanos);
      lastDeliveryNanos = Math.max(lastDeliveryNanos, at);
      inFlight.add(delivery);
      after(
          lastDeliveryNanos - nowNanos,
          () -> {
            if (open) {
              inFlight.remove(delivery);
              delivery.run();
            }
          });
    }

    void breakConnection() {
      open = false;
      for (Runnable delivery : inFlight) {
        for (int copies = random.nextInt(3); copies > 0; copies--) {
          after((long) (random.nextDouble() * 2e9), delivery);
        }
      }
      inFlight.clear();
    }
  }
}
