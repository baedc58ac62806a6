package org.cornelspoke.coordination.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;
import org.cornelspoke.util.Assert;

/**
 * Runs the tasks of rate shares on the control thread in time slices. After each slice a pause of
 * at least the same duration leaves the thread to other work.
 *
 * <p>Protects a control VM that receives more share messages than it can handle: heartbeats and
 * votes wait for one slice at most, so that a busy leader is not deposed.
 *
 * <p>Not safe for use by several threads.
 */
public final class ShareTaskQueue {

  /** Longest slice, up to the end of the current task; a small fraction of a heartbeat interval. */
  private static final long MAX_SLICE_NANOS = 5_000_000L;

  /**
   * Shortest time between the starts of two slices; replies to messages that arrive in the meantime
   * are sent together.
   */
  private static final long MIN_SLICE_INTERVAL_NANOS = 5_000_000L;

  private final LongSupplier clock;
  private final Deque<Runnable> tasks = new ArrayDeque<>();
  private long nextSliceStartNanos;

  /**
   * Creates an empty queue.
   *
   * @param clock monotonic nanoseconds
   */
  public ShareTaskQueue(LongSupplier clock) {
    this.clock = Assert.notNull(clock, "clock");
    nextSliceStartNanos = clock.getAsLong();
  }

  /** Adds a task to the next slice that has time for it. */
  public void add(Runnable item) {
    tasks.add(Assert.notNull(item, "item"));
  }

  /** Returns true if tasks are queued. */
  public boolean hasWork() {
    return !tasks.isEmpty();
  }

  /** Returns the time until the next slice may start, 0 or less if it may start now. */
  public long delayNanos() {
    return nextSliceStartNanos - clock.getAsLong();
  }

  /** Runs queued tasks, oldest first, for one slice. */
  public void run() {
    long startNanos = clock.getAsLong();
    long nowNanos = startNanos;
    try {
      while (!tasks.isEmpty() && nowNanos - startNanos < MAX_SLICE_NANOS) {
        tasks.poll().run();
        nowNanos = clock.getAsLong();
      }
    } finally {
      long usedNanos = clock.getAsLong() - startNanos;
      nextSliceStartNanos = startNanos + Math.max(MIN_SLICE_INTERVAL_NANOS, 2 * usedNanos);
    }
  }
}
