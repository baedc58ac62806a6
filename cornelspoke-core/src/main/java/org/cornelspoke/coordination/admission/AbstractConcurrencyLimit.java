package org.cornelspoke.coordination.admission;

import org.cornelspoke.util.Assert;

/**
 * Base class of the adaptive limits: sampling windows, ramp-up after a cold start, the decrease
 * after sheds and timeouts, and the baseline latency of an uncongested upstream.
 *
 * <p>A latency above the baseline has two possible causes. If requests queue inside the upstream, a
 * lower limit reduces the latency. If the upstream or one of its dependencies became slower, a
 * lower limit only reduces throughput. The two cases are distinguished by the effect of a decrease:
 * if the latency did not fall, the current latency becomes the baseline and the limit is restored.
 */
abstract class AbstractConcurrencyLimit implements ConcurrencyLimit {

  /** Initial limit of a cold upstream as a fraction of the announced slots. */
  private static final double INITIAL_FRACTION = 0.2;

  /**
   * Upper bound of the initial limit. Without it, an upstream that announces ten times its real
   * slots queues from the first request on, and the baseline includes that queueing time.
   */
  private static final double MAX_INITIAL_LIMIT = 8;

  private static final double RAMP_UP_FACTOR = 1.5;

  /** Minimum limit as a fraction of the announced slots; lower ones delay recovery detection. */
  private static final double MIN_LIMIT_FRACTION = 0.03;

  /** Rejection ratio of a window that indicates overload; single timeouts occur at any load. */
  private static final double OVERLOAD_REJECTED_FRACTION = 0.01;

  private static final double MIN_REJECTION_FACTOR = 0.7;
  private static final double MAX_REJECTION_FACTOR = 0.95;

  /** Utilisation below which the limit is not raised, because it does not constrain the load. */
  private static final double MIN_UTILISATION = 0.8;

  /** Ratio of decreased to original limit at which the effect on the latency is evaluated. */
  private static final double EVALUATION_LIMIT_RATIO = 0.7;

  /** Ratio of new to old latency above which the evaluated decrease of the limit had no effect. */
  private static final double UNCHANGED_LATENCY_RATIO = 0.88;

  private final LatencyWindow window = new LatencyWindow(0);
  private boolean windowStarted;
  private int announcedSlots;
  private double limit;
  private double baselineNanos;
  private boolean rampingUp = true;
  private double congestionLimit;
  private double congestionLatencyNanos;

  AbstractConcurrencyLimit(int announcedSlots) {
    Assert.isTrue(announcedSlots >= 1, "slots must be 1 or more");
    this.announcedSlots = announcedSlots;
    limit = clamp(Math.min(MAX_INITIAL_LIMIT, announcedSlots * INITIAL_FRACTION));
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

  /** Returns the baseline latency without congestion, or 0 before the first window. */
  final double baselineNanos() {
    return baselineNanos;
  }

  final int announcedSlots() {
    return announcedSlots;
  }

  /** Returns true if the latency indicates congestion. */
  abstract boolean isCongested(double limit, double latencyNanos, double baselineNanos);

  /** Returns the next limit of a congested upstream. */
  abstract double decrease(double limit, double latencyNanos, double baselineNanos);

  /** Returns the next limit of an uncongested upstream that uses its limit. */
  abstract double increase(double limit, double latencyNanos, double baselineNanos);

  private void update() {
    // Server errors are ignored: most come from nested calls that another gate refused, which a
    // lower limit at this gate does not prevent.
    if (window.rejectedFraction() > OVERLOAD_REJECTED_FRACTION) {
      double rejectedFraction = window.rejectedFraction();
      rampingUp = false;
      limit =
          clamp(
              limit
                  * Math.min(
                      MAX_REJECTION_FACTOR, Math.max(MIN_REJECTION_FACTOR, 1 - rejectedFraction)));
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
    // Falls quickly and rises slowly, so that a growing queue does not become the baseline.
    baselineNanos += (latency < baselineNanos ? 0.3 : 0.02) * (latency - baselineNanos);
    if (window.maxInFlight() >= limit * MIN_UTILISATION) {
      limit = clamp(rampingUp ? limit * RAMP_UP_FACTOR : increase(limit, latency, baselineNanos));
    }
  }

  private void onCongestion(double latency) {
    rampingUp = false;
    if (congestionLimit == 0) {
      // This window began at a lower limit; the next one measures the latency at this limit.
      congestionLimit = limit;
      congestionLatencyNanos = 0;
      return;
    }
    if (congestionLatencyNanos == 0) {
      congestionLatencyNanos = latency;
    } else if (limit <= congestionLimit * EVALUATION_LIMIT_RATIO || limit <= clamp(0)) {
      if (latency > congestionLatencyNanos * UNCHANGED_LATENCY_RATIO) {
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
    double minLimit = Math.max(1, announcedSlots * MIN_LIMIT_FRACTION);
    return Math.min(announcedSlots, Math.max(minLimit, value));
  }
}
