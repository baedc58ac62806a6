package org.cornelspoke.coordination.admission;

import org.cornelspoke.util.Assert;

/**
 * Limit equal to the announced slots or a fraction of them; the baseline for comparison with the
 * adaptive limits.
 *
 * <p>A fraction below 1 is meant for upstreams that slow down when nearly all of their slots are in
 * use: under overload a lower limit gives them a higher throughput.
 */
public final class FixedLimit implements ConcurrencyLimit {

  private static final double ROUNDING_TOLERANCE = 1e-9;

  private final double usedFraction;
  private int slots;

  /** Creates a limit of the announced slots. */
  public FixedLimit(int slots) {
    this(slots, 1);
  }

  /**
   * Creates a limit that stays below a fraction of the announced slots.
   *
   * @param usedFraction above 0; the limit is the largest integer below this fraction of the slots,
   *     or all slots for 1
   */
  public FixedLimit(int slots, double usedFraction) {
    Assert.isTrue(
        usedFraction > 0 && usedFraction <= 1, "usedFraction must be above 0 and at most 1");
    this.usedFraction = usedFraction;
    setAnnouncedSlots(slots);
  }

  @Override
  public int limit() {
    return slots;
  }

  @Override
  public void setAnnouncedSlots(int slots) {
    Assert.isTrue(slots >= 1, "slots must be 1 or more");
    this.slots =
        usedFraction == 1
            ? slots
            : Math.max(1, (int) Math.ceil(usedFraction * slots - ROUNDING_TOLERANCE) - 1);
  }

  @Override
  public void onCompleted(long latencyNanos, int inFlight, Completion completion, long nowNanos) {
    // A fixed limit does not adapt.
  }
}
