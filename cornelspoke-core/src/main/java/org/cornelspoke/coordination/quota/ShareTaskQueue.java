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
  private final Deque<Task> tasks = new ArrayDeque<>();
  private long nextSliceStartNanos;
  private long maxDelayNanos;
  private long usedNanos;

  private record Task(Runnable action, long addedAtNanos) {}

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
    tasks.add(new Task(Assert.notNull(item, "item"), clock.getAsLong()));
  }

  /** Returns true if tasks are queued. */
  public boolean hasWork() {
    return !tasks.isEmpty();
  }

  /** Returns the number of queued tasks. */
  public int size() {
    return tasks.size();
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
        Task task = tasks.poll();
        maxDelayNanos = Math.max(maxDelayNanos, nowNanos - task.addedAtNanos());
        task.action().run();
        nowNanos = clock.getAsLong();
      }
    } finally {
      long sliceNanos = clock.getAsLong() - startNanos;
      usedNanos += sliceNanos;
      nextSliceStartNanos = startNanos + Math.max(MIN_SLICE_INTERVAL_NANOS, 2 * sliceNanos);
    }
  }

  /** Returns the longest time between the arrival and the start of a task since the last call. */
  public long takeMaxDelayNanos() {
    long delayNanos = maxDelayNanos;
    maxDelayNanos = 0;
    return delayNanos;
  }

  /** Returns the time spent in tasks since the last call. */
  public long takeUsedNanos() {
    long nanos = usedNanos;
    usedNanos = 0;
    return nanos;
  }
}
