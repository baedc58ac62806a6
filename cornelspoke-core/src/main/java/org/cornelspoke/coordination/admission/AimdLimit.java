package org.cornelspoke.coordination.admission;

/**
 * Adds to the limit while the latency is near its baseline and cuts it by a part when it is not.
 */
public final class AimdLimit extends AbstractConcurrencyLimit {

  /** Ratio of latency to baseline that shows a queue inside the upstream. */
  private static final double CONGESTED_RATIO = 1.6;

  private static final double DECREASE_FACTOR = 0.88;

  /** Increase per window as part of the announced slots; full recovery takes about 3 s. */
  private static final double INCREASE_PART = 0.03;

  /** Creates a limit for a cold upstream. */
  public AimdLimit(int announcedSlots) {
    super(announcedSlots);
  }

  @Override
  boolean isCongested(double limit, double latencyNanos, double baselineNanos) {
    return latencyNanos > baselineNanos * CONGESTED_RATIO;
  }

  @Override
  double decrease(double limit, double latencyNanos, double baselineNanos) {
    return limit * DECREASE_FACTOR;
  }

  @Override
  double increase(double limit, double latencyNanos, double baselineNanos) {
    return limit + Math.max(1, announcedSlots() * INCREASE_PART);
  }
}
