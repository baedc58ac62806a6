package org.cornelspoke.bench.scenario;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.apache.commons.math3.random.RandomGenerator;

/**
 * Model of an upstream: a fixed number of slots and an internal FIFO queue. A request works for an
 * exponentially distributed time, then makes its nested call, and holds its slot until it ends.
 */
final class UpstreamServer {

  /** Queue length at which the upstream sheds new requests. */
  private static final int MAX_QUEUE_LENGTH = 2000;

  /** Time after a cold start until the upstream reaches its normal speed. */
  private static final long WARM_UP_NANOS = 5 * VirtualTime.SECOND;

  private static final double COLD_FACTOR = 3;

  /** One request inside the upstream. */
  final class Job {
    private final Consumer<Job> onWorkDone;
    private boolean running;
    private boolean ended;

    private Job(Consumer<Job> onWorkDone) {
      this.onWorkDone = onWorkDone;
    }

    /** Ends the request, finished or cancelled, and frees its slot. */
    void end() {
      if (ended) {
        return;
      }
      ended = true;
      if (running) {
        busySlots--;
        startNext();
      } else {
        queue.remove(this);
      }
    }
  }

  private final VirtualTime time;
  private final RandomGenerator random;
  private final double meanWorkNanos;
  private final Deque<Job> queue = new ArrayDeque<>();
  private int slots;
  private int busySlots;
  private double slowFactor = 1;
  private long coldStartNanos = Long.MIN_VALUE / 2;
  private boolean up = true;

  UpstreamServer(VirtualTime time, RandomGenerator random, int slots, double workMillis) {
    this.time = time;
    this.random = random;
    this.slots = slots;
    meanWorkNanos = workMillis * VirtualTime.MILLI;
  }

  void setSlots(int slots) {
    this.slots = slots;
  }

  void setSlowFactor(double factor) {
    slowFactor = factor;
  }

  void stop() {
    up = false;
    queue.clear();
    busySlots = 0;
  }

  void startCold() {
    up = true;
    coldStartNanos = time.now();
  }

  boolean isUp() {
    return up;
  }

  /** Queues a request, or returns null if the upstream is down or sheds it. */
  Job serve(Consumer<Job> onWorkDone) {
    if (!up || queue.size() >= MAX_QUEUE_LENGTH) {
      return null;
    }
    Job job = new Job(onWorkDone);
    queue.add(job);
    startNext();
    return job;
  }

  private void startNext() {
    while (up && busySlots < slots && !queue.isEmpty()) {
      Job job = queue.poll();
      job.running = true;
      busySlots++;
      double warmUpFraction = Math.min(1, (double) (time.now() - coldStartNanos) / WARM_UP_NANOS);
      double factor = slowFactor * (COLD_FACTOR - (COLD_FACTOR - 1) * warmUpFraction);
      double workDurationNanos = -Math.log(1 - random.nextDouble()) * meanWorkNanos * factor;
      time.after(
          (long) workDurationNanos,
          () -> {
            if (!job.ended && up) {
              job.onWorkDone.accept(job);
            }
          });
    }
  }
}
