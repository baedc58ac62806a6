package org.cornelspoke.coordination.admission;

/**
 * Estimates the queue inside the upstream from limit and latency and keeps it between two bounds.
 */
public final class VegasLimit extends AbstractConcurrencyLimit {

  /** Queue as part of the limit below which the limit rises. */
  private static final double LOW_PART = 0.15;

  /** Queue as part of the limit above which the limit falls. */
  private static final double HIGH_PART = 0.35;

  /** Creates a limit for a cold upstream. */
  public VegasLimit(int announcedSlots) {
    super(announcedSlots);
  }

  @Override
  boolean isCongested(double limit, double latencyNanos, double baselineNanos) {
    return queuedPart(latencyNanos, baselineNanos) > HIGH_PART;
  }

  @Override
  double decrease(double limit, double latencyNanos, double baselineNanos) {
    return limit - step(limit);
  }

  @Override
  double increase(double limit, double latencyNanos, double baselineNanos) {
    return queuedPart(latencyNanos, baselineNanos) < LOW_PART ? limit + step(limit) : limit;
  }

  private static double queuedPart(double latencyNanos, double baselineNanos) {
    return Math.max(0, 1 - baselineNanos / latencyNanos);
  }

  private static double step(double limit) {
    return Math.max(1, Math.sqrt(limit));
  }
}
