package org.cornelspoke.util;

/**
 * Runs tasks at their time with a coarse resolution. Adding and cancelling a timer takes constant
 * time, which matters because nearly every timer is a request deadline that is cancelled.
 *
 * <p>Holds no clock and no thread: the owner calls {@link #advance}. Not safe for use by several
 * threads. Times are monotonic nanoseconds.
 */
public final class TimerWheel {

  private final long tickNanos;
  private final Timer[] buckets;
  private long currentTick;
  private int size;

  /**
   * Creates a wheel.
   *
   * @param tickNanos resolution; a timer runs up to one tick late
   * @param bucketCount timers further away than this number of ticks are looked at once per turn
   */
  public TimerWheel(long tickNanos, int bucketCount, long nowNanos) {
    Assert.isTrue(tickNanos > 0, "tickNanos must be positive");
    Assert.isTrue(bucketCount > 0, "bucketCount must be positive");
    this.tickNanos = tickNanos;
    this.buckets = new Timer[bucketCount];
    this.currentTick = Math.floorDiv(nowNanos, tickNanos);
  }

  /** Adds a timer. A time in the past runs with the next tick. */
  public Timer schedule(long timeNanos, Runnable task) {
    long tick = Math.max(currentTick + 1, Math.floorDiv(timeNanos + tickNanos - 1, tickNanos));
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

  /** Runs every task whose time has come. */
  public void advance(long nowNanos) {
    long nowTick = Math.floorDiv(nowNanos, tickNanos);
    if (size == 0) {
      currentTick = Math.max(currentTick, nowTick);
      return;
    }
    long first = Math.max(currentTick + 1, nowTick - buckets.length + 1);
    for (long tick = first; tick <= nowTick; tick++) {
      currentTick = tick;
      runBucket((int) Math.floorMod(tick, (long) buckets.length), nowTick);
    }
  }

  /** Returns the number of timers that wait. */
  public int size() {
    return size;
  }

  private void runBucket(int bucket, long nowTick) {
    Timer timer = buckets[bucket];
    while (timer != null) {
      if (timer.tick <= nowTick) {
        timer.cancel();
        timer.task.run();
        // The task may have changed the bucket in any way, so the walk starts again.
        timer = buckets[bucket];
      } else {
        timer = timer.next;
      }
    }
  }

  /** One waiting task. */
  public static final class Timer {

    private final TimerWheel wheel;
    private final Runnable task;
    private final long tick;
    private int bucket;
    private Timer previous;
    private Timer next;
    private boolean done;

    private Timer(TimerWheel wheel, Runnable task, long tick) {
      this.wheel = wheel;
      this.task = task;
      this.tick = tick;
    }

    /** Removes the timer. Does nothing if it has run or was cancelled. */
    public void cancel() {
      if (done) {
        return;
      }
      done = true;
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
