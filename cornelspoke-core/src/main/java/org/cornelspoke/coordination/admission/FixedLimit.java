package org.cornelspoke.coordination.admission;

import org.cornelspoke.util.Assert;

/**
 * The announced slots as the limit, or a part of them; the baseline that adaptive limits are
 * compared with.
 *
 * <p>A part below 1 answers upstreams that serve everything more slowly while nearly all of their
 * slots are in use: under overload they then do more with fewer.
 */
public final class FixedLimit implements ConcurrencyLimit {

  private static final double ROUNDING = 1e-9;

  private final double usedPart;
  private int slots;

  /** Creates a limit of the announced slots. */
  public FixedLimit(int slots) {
    this(slots, 1);
  }

  /**
   * Creates a limit that stays below a part of the announced slots.
   *
   * @param usedPart above 0; the limit is the largest number below this part, or all slots for 1
   */
  public FixedLimit(int slots, double usedPart) {
    Assert.isTrue(usedPart > 0 && usedPart <= 1, "usedPart must be above 0 and at most 1");
    this.usedPart = usedPart;
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
        usedPart == 1 ? slots : Math.max(1, (int) Math.ceil(usedPart * slots - ROUNDING) - 1);
  }

  @Override
  public void onCompleted(long latencyNanos, int inFlight, Completion completion, long nowNanos) {
    // A fixed limit does not learn.
  }
}
