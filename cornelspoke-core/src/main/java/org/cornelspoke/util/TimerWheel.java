package org.cornelspoke.util;

/**
 * Hashed timer wheel that runs tasks at scheduled times with a coarse resolution. Scheduling and
 * cancelling take constant time, because nearly all timers are request deadlines that are
 * cancelled.
 *
 * <p>Has no clock and no thread: the owner drives it through {@link #advance}. Not thread-safe.
 * Times are monotonic nanoseconds.
 */
public final class TimerWheel {

  private final long tickNanos;
  private final Timer[] buckets;
  private long currentTick;
  private int size;

  /**
   * Creates a wheel.
   *
   * @param tickNanos resolution; a timer may run up to one tick late
   * @param bucketCount number of ticks per revolution; a timer that is due later is visited once
   *     per revolution until then
   * @param nowNanos current time
   */
  public TimerWheel(long tickNanos, int bucketCount, long nowNanos) {
    Assert.isTrue(tickNanos > 0, "tickNanos must be positive");
    Assert.isTrue(bucketCount > 0, "bucketCount must be positive");
    this.tickNanos = tickNanos;
    this.buckets = new Timer[bucketCount];
    this.currentTick = Math.floorDiv(nowNanos, tickNanos);
  }

  /** Schedules a task. A task that is already due runs with the next tick. */
  public Timer schedule(long dueAtNanos, Runnable task) {
    long tick = Math.max(currentTick + 1, Math.floorDiv(dueAtNanos + tickNanos - 1, tickNanos));
    Timer timer = new Timer(this, task, tick);
    int bucket = (int) Math.floorMod(tick, (long) buckets.length);
    timer.bucket = bucket;
    timer.next = buckets[bucket];
    if (timer.next != null) {
      timer.next.previous = timer;
    }
    buckets[bucket] = timer;
    size++;
    return timer;
  }

  /** Advances the wheel to the given time and runs all tasks that are due. */
  public void advance(long nowNanos) {
    long nowTick = Math.floorDiv(nowNanos, tickNanos);
    if (size == 0) {
      currentTick = Math.max(currentTick, nowTick);
      return;
    }
    long firstTick = Math.max(currentTick + 1, nowTick - buckets.length + 1);
    for (long tick = firstTick; tick <= nowTick; tick++) {
      currentTick = tick;
      boolean completed = false;
      try {
        runBucket((int) Math.floorMod(tick, (long) buckets.length), nowTick);
        completed = true;
      } finally {
        if (!completed) {
          // The other timers of the bucket expire in the next call.
          currentTick = tick - 1;
        }
      }
    }
  }

  /** Returns the number of pending timers. */
  public int size() {
    return size;
  }

  private void runBucket(int bucket, long nowTick) {
    Timer timer = buckets[bucket];
    while (timer != null) {
      if (timer.tick <= nowTick) {
        timer.cancel();
        timer.task.run();
        // The task may have modified the bucket, so restart the iteration.
        timer = buckets[bucket];
      } else {
        timer = timer.next;
      }
    }
  }

  /** Handle of a scheduled task. */
  public static final class Timer {

    private final TimerWheel wheel;
    private final Runnable task;
    private final long tick;
    private int bucket;
    private Timer previous;
    private Timer next;
    private boolean finished;

    private Timer(TimerWheel wheel, Runnable task, long tick) {
      this.wheel = wheel;
      this.task = task;
      this.tick = tick;
    }

    /** Cancels the timer; has no effect if it has already run or been cancelled. */
    public void cancel() {
      if (finished) {
        return;
      }
      finished = true;
      wheel.size--;
      if (previous == null) {
        wheel.buckets[bucket] = next;
      } else {
        previous.next = next;
      }
      if (next != null) {
        next.previous = previous;
      }
      previous = null;
      next = null;
    }
  }
}
