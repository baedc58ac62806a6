package org.cornelspoke.bench.scenario;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.apache.commons.math3.random.RandomGenerator;

/**
 * Model of an upstream: real slots, an internal FIFO queue, and exponential work before the nested
 * call, during which the slot stays held.
 */
final class UpstreamServer {

  /** Queue length above which the upstream sheds by itself. */
  private static final int MAX_QUEUE = 2000;

  /** Time in which a cold upstream reaches its normal speed. */
  private static final long WARM_UP_NANOS = 5 * VirtualTime.SECOND;

  private static final double COLD_FACTOR = 3;

  /** One request inside the upstream. */
  final class Job {
    private final Consumer<Job> afterWork;
    private boolean running;
    private boolean ended;

    private Job(Consumer<Job> afterWork) {
      this.afterWork = afterWork;
    }

    /** Ends the request, finished or cancelled, and frees its slot. */
    void end() {
      if (ended) {
        return;
      }
      ended = true;
      if (running) {
        busy--;
        startNext();
      } else {
        queue.remove(this);
      }
    }
  }

  private final VirtualTime time;
  private final RandomGenerator random;
  private final double workNanos;
  private final Deque<Job> queue = new ArrayDeque<>();
  private int slots;
  private int busy;
  private double slowFactor = 1;
  private long coldSinceNanos = Long.MIN_VALUE / 2;
  private boolean up = true;

  UpstreamServer(VirtualTime time, RandomGenerator random, int slots, double workMillis) {
    this.time = time;
    this.random = random;
    this.slots = slots;
    workNanos = workMillis * VirtualTime.MILLI;
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
    busy = 0;
  }

  void startCold() {
    up = true;
    coldSinceNanos = time.now();
  }

  boolean isUp() {
    return up;
  }

  /** Takes a request, or returns null if the upstream sheds it. */
  Job serve(Consumer<Job> afterWork) {
    if (!up || queue.size() >= MAX_QUEUE) {
      return null;
    }
    Job job = new Job(afterWork);
    queue.add(job);
    startNext();
    return job;
  }

  private void startNext() {
    while (up && busy < slots && !queue.isEmpty()) {
      Job job = queue.poll();
      job.running = true;
      busy++;
      double age = Math.min(1, (double) (time.now() - coldSinceNanos) / WARM_UP_NANOS);
      double factor = slowFactor * (COLD_FACTOR - (COLD_FACTOR - 1) * age);
      double work = -Math.log(1 - random.nextDouble()) * workNanos * factor;
      time.after(
          (long) work,
          () -> {
            if (!job.ended && up) {
              job.afterWork.accept(job);
            }
          });
    }
  }
}
