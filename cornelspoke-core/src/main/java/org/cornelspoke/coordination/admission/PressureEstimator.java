package org.cornelspoke.coordination.admission;

import java.util.concurrent.TimeUnit;

/**
 * Smooths the pressure that the calls of an upstream report of the gates below.
 *
 * <p>Not safe for use by several threads.
 */
public final class PressureEstimator {

  /** Weight of one report; some ten calls say how long the queues below are. */
  private static final double WEIGHT = 0.1;

  /** Time in which a pressure that no call confirms loses half of its value. */
  private static final double HALF_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private double percent;
  private long asOfNanos;

  /** Takes what one call reported at its end. */
  public void record(int reportedPercent, long nowNanos) {
    fade(nowNanos);
    percent += WEIGHT * (reportedPercent - percent);
  }

  /** Returns the present estimate. */
  public int percent(long nowNanos) {
    fade(nowNanos);
    return (int) Math.round(percent);
  }

  private void fade(long nowNanos) {
    long elapsedNanos = nowNanos - asOfNanos;
    if (elapsedNanos > 0) {
      percent *= Math.pow(0.5, elapsedNanos / HALF_LIFE_NANOS);
      asOfNanos = nowNanos;
    }
  }
}
