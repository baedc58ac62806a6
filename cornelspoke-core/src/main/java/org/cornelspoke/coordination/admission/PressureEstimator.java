package org.cornelspoke.coordination.admission;

import java.util.concurrent.TimeUnit;

/**
 * Smooths the pressure of the downstream gates that the calls of an upstream report.
 *
 * <p>Not safe for use by several threads.
 */
public final class PressureEstimator {

  /** Smoothing weight of one report; the estimate covers about the last ten calls. */
  private static final double REPORT_WEIGHT = 0.1;

  /** Half-life of the estimate while no call reports a pressure. */
  private static final double HALF_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private double percent;
  private long updatedAtNanos;

  /** Records the pressure that a completed call reported. */
  public void record(int reportedPercent, long nowNanos) {
    decay(nowNanos);
    percent += REPORT_WEIGHT * (reportedPercent - percent);
  }

  /** Returns the current estimate. */
  public int percent(long nowNanos) {
    decay(nowNanos);
    return (int) Math.round(percent);
  }

  private void decay(long nowNanos) {
    long elapsedNanos = nowNanos - updatedAtNanos;
    if (elapsedNanos > 0) {
      percent *= Math.pow(0.5, elapsedNanos / HALF_LIFE_NANOS);
      updatedAtNanos = nowNanos;
    }
  }
}
