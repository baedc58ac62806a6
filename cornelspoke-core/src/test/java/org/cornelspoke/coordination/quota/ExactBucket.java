package org.cornelspoke.coordination.quota;

/**
 * One central token bucket in true time, used to check the admission bound. If every admission
 * finds a token here, no window of t seconds has more than {@code burst + rate * t} admissions. If
 * one doesn't, such a window exists; it starts when this bucket was last full.
 */
final class ExactBucket {

  private static final double ROUNDING = 1e-6;

  private final double rate;
  private final double burst;
  private double level;
  private long updatedAtNanos;

  ExactBucket(double rate, double burst) {
    this.rate = rate;
    this.burst = burst;
    level = burst;
  }

  boolean tryTake(long nowNanos) {
    level = Math.min(burst, level + rate * (nowNanos - updatedAtNanos) / 1e9);
    updatedAtNanos = nowNanos;
    if (level < 1 - ROUNDING) {
      return false;
    }
    level -= 1;
    return true;
  }
}
