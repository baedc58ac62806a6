package org.cornelspoke.coordination.admission;

/**
 * Estimates the fraction of the limit that queues inside the upstream from the ratio of baseline to
 * latency and keeps it between two bounds.
 */
public final class VegasLimit extends AbstractConcurrencyLimit {

  /** Queued fraction of the limit below which the limit increases. */
  private static final double MIN_QUEUED_FRACTION = 0.15;

  /** Queued fraction of the limit above which the limit decreases. */
  private static final double MAX_QUEUED_FRACTION = 0.35;

  /** Creates a limit that starts with a ramp-up. */
  public VegasLimit(int announcedSlots) {
    super(announcedSlots);
  }

  @Override
  boolean isCongested(double limit, double latencyNanos, double baselineNanos) {
    return queuedFraction(latencyNanos, baselineNanos) > MAX_QUEUED_FRACTION;
  }

  @Override
  double decrease(double limit, double latencyNanos, double baselineNanos) {
    return limit - step(limit);
  }

  @Override
  double increase(double limit, double latencyNanos, double baselineNanos) {
    return queuedFraction(latencyNanos, baselineNanos) < MIN_QUEUED_FRACTION
        ? limit + step(limit)
        : limit;
  }

  private static double queuedFraction(double latencyNanos, double baselineNanos) {
    return Math.max(0, 1 - baselineNanos / latencyNanos);
  }

  private static double step(double limit) {
    return Math.max(1, Math.sqrt(limit));
  }
}
