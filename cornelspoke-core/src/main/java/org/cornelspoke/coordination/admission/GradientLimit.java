package org.cornelspoke.coordination.admission;

/**
 * Scales the limit by the ratio of baseline to latency and allows a queue of the square root of the
 * limit.
 */
public final class GradientLimit extends AbstractConcurrencyLimit {

  /** Ratio of latency to baseline that is tolerated before the limit decreases. */
  private static final double TOLERANCE = 1.5;

  private static final double MIN_GRADIENT = 0.5;

  /** Weight of a new estimate; one noisy window must not halve the limit. */
  private static final double SMOOTHING = 0.4;

  /** Creates a limit that starts with a ramp-up. */
  public GradientLimit(int announcedSlots) {
    super(announcedSlots);
  }

  @Override
  boolean isCongested(double limit, double latencyNanos, double baselineNanos) {
    return nextLimit(limit, latencyNanos, baselineNanos) < limit;
  }

  @Override
  double decrease(double limit, double latencyNanos, double baselineNanos) {
    return nextLimit(limit, latencyNanos, baselineNanos);
  }

  @Override
  double increase(double limit, double latencyNanos, double baselineNanos) {
    return nextLimit(limit, latencyNanos, baselineNanos);
  }

  private static double nextLimit(double limit, double latencyNanos, double baselineNanos) {
    double gradient = Math.max(MIN_GRADIENT, Math.min(1, TOLERANCE * baselineNanos / latencyNanos));
    double estimate = limit * gradient + Math.sqrt(limit);
    return limit + SMOOTHING * (estimate - limit);
  }
}
