package org.cornelspoke.coordination.admission;

import org.cornelspoke.util.Assert;

/**
 * What the adaptive limits have in common: windows of samples, the ramp-up of a cold upstream, the
 * answer to sheds and timeouts, and the latency that counts as uncongested.
 *
 * <p>A latency above the baseline has two possible causes. If the requests queue inside the
 * upstream, a lower limit lowers the latency. If the upstream or something behind it became slower,
 * a lower limit only costs throughput. The limit tells them apart by what its own decrease
 * achieved: when the latency has not followed, the present latency becomes the baseline and the
 * limit is restored.
 */
abstract class AbstractConcurrencyLimit implements ConcurrencyLimit {

  /** Part of the announced slots that a cold upstream gets at first. */
  private static final double INITIAL_PART = 0.2;

  /**
   * Most requests that a cold upstream gets at first. An upstream that announces ten times its
   * slots would otherwise queue from the first request on, and the baseline would include that
   * queue.
   */
  private static final double MAX_INITIAL = 8;

  private static final double RAMP_UP_FACTOR = 1.5;

  /** Lowest limit as part of the announced slots; lower ones make recovery slow to notice. */
  private static final double FLOOR_PART = 0.03;

  /** Rejected part of a window that counts as overload; single timeouts happen at any load. */
  private static final double REJECTED_PART = 0.01;

  private static final double MIN_REJECTION_FACTOR = 0.7;
  private static final double MAX_REJECTION_FACTOR = 0.95;

  /** Utilisation below which the limit is not raised, because it does not bind. */
  private static final double UTILISED_PART = 0.8;

  /** Decrease of the limit after which its effect on the latency is judged. */
  private static final double JUDGED_LIMIT_PART = 0.7;

  /** Part of the latency above which a decrease to {@link #JUDGED_LIMIT_PART} had no effect. */
  private static final double UNCHANGED_LATENCY_PART = 0.88;

  private final LatencyWindow window = new LatencyWindow(0);
  private boolean windowStarted;
  private int announcedSlots;
  private double limit;
  private double baselineNanos;
  private boolean rampUp = true;
  private double congestionLimit;
  private double congestionLatencyNanos;

  AbstractConcurrencyLimit(int announcedSlots) {
    Assert.isTrue(announcedSlots >= 1, "slots must be 1 or more");
    this.announcedSlots = announcedSlots;
    limit = clamp(Math.min(MAX_INITIAL, announcedSlots * INITIAL_PART));
  }

  @Override
  public final int limit() {
    return (int) limit;
  }

  @Override
  public final void setAnnouncedSlots(int slots) {
    Assert.isTrue(slots >= 1, "slots must be 1 or more");
    announcedSlots = slots;
    limit = clamp(limit);
  }

  @Override
  public final void onCompleted(
      long latencyNanos, int inFlight, Completion completion, long nowNanos) {
    if (completion == Completion.CANCELLED) {
      return;
    }
    if (!windowStarted) {
      windowStarted = true;
      window.reset(nowNanos - Math.max(0, latencyNanos));
    }
    window.add(latencyNanos, inFlight, completion);
    if (window.isComplete(nowNanos)) {
      update();
      window.reset(nowNanos);
    }
  }

  /** Returns the latency that counts as uncongested, or 0 before the first window. */
  final double baselineNanos() {
    return baselineNanos;
  }

  final int announcedSlots() {
    return announcedSlots;
  }

  /** Returns true if the latency shows congestion. */
  abstract boolean isCongested(double limit, double latencyNanos, double baselineNanos);

  /** Returns the next limit of a congested upstream. */
  abstract double decrease(double limit, double latencyNanos, double baselineNanos);

  /** Returns the next limit of an uncongested upstream whose limit is used. */
  abstract double increase(double limit, double latencyNanos, double baselineNanos);

  private void update() {
    // Server errors do not count: most come from nested calls that were refused elsewhere, and a
    // lower limit here would not help there.
    if (window.rejectedPart() > REJECTED_PART) {
      double bad = window.rejectedPart();
      rampUp = false;
      limit =
          clamp(limit * Math.min(MAX_REJECTION_FACTOR, Math.max(MIN_REJECTION_FACTOR, 1 - bad)));
      return;
    }
    if (!window.hasLatency()) {
      return;
    }
    double latency = window.meanLatencyNanos();
    if (baselineNanos == 0) {
      baselineNanos = latency;
    }
    if (isCongested(limit, latency, baselineNanos)) {
      onCongestion(latency);
      return;
    }
    congestionLimit = 0;
    // Falls quickly and rises slowly, so that a queue that builds up does not become the norm.
    baselineNanos += (latency < baselineNanos ? 0.3 : 0.02) * (latency - baselineNanos);
    if (window.maxInFlight() >= limit * UTILISED_PART) {
      limit = clamp(rampUp ? limit * RAMP_UP_FACTOR : increase(limit, latency, baselineNanos));
    }
  }

  private void onCongestion(double latency) {
    rampUp = false;
    if (congestionLimit == 0) {
      // The latency at this limit is measured in the next window; this one began at a lower limit.
      congestionLimit = limit;
      congestionLatencyNanos = 0;
      return;
    }
    if (congestionLatencyNanos == 0) {
      congestionLatencyNanos = latency;
    } else if (limit <= congestionLimit * JUDGED_LIMIT_PART || limit <= clamp(0)) {
      if (latency > congestionLatencyNanos * UNCHANGED_LATENCY_PART) {
        baselineNanos = latency;
        limit = clamp(congestionLimit);
        congestionLimit = 0;
        return;
      }
      congestionLimit = limit;
      congestionLatencyNanos = latency;
    }
    limit = clamp(decrease(limit, latency, baselineNanos));
  }

  private double clamp(double value) {
    double floor = Math.max(1, announcedSlots * FLOOR_PART);
    return Math.min(announcedSlots, Math.max(floor, value));
  }
}
