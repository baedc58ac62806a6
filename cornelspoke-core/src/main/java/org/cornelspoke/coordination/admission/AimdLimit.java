package org.cornelspoke.coordination.admission;

/** Additive increase while the latency is near its baseline, multiplicative decrease otherwise. */
public final class AimdLimit extends AbstractConcurrencyLimit {

  /** Ratio of latency to baseline that indicates queueing inside the upstream. */
  private static final double CONGESTION_RATIO = 1.6;

  private static final double DECREASE_FACTOR = 0.88;

  /** Increase per window as a fraction of the slots; full recovery takes about 3 s. */
  private static final double INCREASE_FRACTION = 0.03;

  /** Creates a limit that starts with a ramp-up. */
  public AimdLimit(int announcedSlots) {
    super(announcedSlots);
  }

  @Override
  boolean isCongested(double limit, double latencyNanos, double baselineNanos) {
    return latencyNanos > baselineNanos * CONGESTION_RATIO;
  }

  @Override
  double decrease(double limit, double latencyNanos, double baselineNanos) {
    return limit * DECREASE_FACTOR;
  }

  @Override
  double increase(double limit, double latencyNanos, double baselineNanos) {
    return limit + Math.max(1, announcedSlots() * INCREASE_FRACTION);
  }
}
