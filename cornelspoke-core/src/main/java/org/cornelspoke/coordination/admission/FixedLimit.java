package org.cornelspoke.coordination.admission;

import org.cornelspoke.util.Assert;

/** The announced slots as the limit; the baseline that adaptive limits are compared with. */
public final class FixedLimit implements ConcurrencyLimit {

  private int slots;

  /** Creates a limit of the announced slots. */
  public FixedLimit(int slots) {
    setAnnouncedSlots(slots);
  }

  @Override
  public int limit() {
    return slots;
  }

  @Override
  public void setAnnouncedSlots(int slots) {
    Assert.isTrue(slots >= 1, "slots must be 1 or more");
    this.slots = slots;
  }

  @Override
  public void onCompleted(long latencyNanos, int inFlight, Completion completion, long nowNanos) {
    // A fixed limit does not learn.
  }
}
