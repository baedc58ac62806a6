package org.cornelspoke.coordination.admission;

import java.util.concurrent.TimeUnit;

/**
 * Times of the latest admissions of a gate. They tell when a further admission keeps a number of
 * requests within any second.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds.
 */
final class RecentAdmissions {

  /** Larger numbers are not counted; the spacing of the admissions alone keeps them. */
  static final int CAPACITY = 512;

  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final long[] timesNanos = new long[CAPACITY];
  private long count;

  void add(long nowNanos) {
    timesNanos[(int) (count % CAPACITY)] = nowNanos;
    count++;
  }

  /**
   * Returns the time until fewer than the given number of admissions lie within the past second, or
   * 0 if this is so now.
   */
  long waitNanos(int maxPerSecond, long nowNanos) {
    if (maxPerSecond > CAPACITY || count < maxPerSecond) {
      return 0;
    }
    long decidingNanos = timesNanos[(int) ((count - maxPerSecond) % CAPACITY)];
    return Math.max(0, decidingNanos + WINDOW_NANOS - nowNanos);
  }
}
