package org.cornelspoke.coordination.routing;

import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.coordination.routing.TargetSelector.AttemptResult;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.registry.TargetState;

/** What the selector has observed of one target. */
final class TargetStats {

  /** Least weight of a new latency sample; about the last 20 attempts count. */
  private static final double LATENCY_WEIGHT = 0.1;

  /** Consecutive failures that eject a target. */
  private static final int FAILURES_TO_EJECT = 5;

  /** Failure rate above which a target is ejected although successes come in between. */
  private static final double FAILURE_RATE_TO_EJECT = 0.6;

  private static final double FAILURE_WEIGHT = 0.05;

  /** Weight of a result in the recent failures; about the last ten attempts count. */
  private static final double RECENT_WEIGHT = 0.1;

  /** Time after which a target that is no longer chosen is half forgiven. */
  private static final double RECENT_HALF_LIFE_NANOS = 1_500_000_000L;

  private static final long BASE_EJECTION_NANOS = 1_000_000_000L;
  private static final int MAX_EJECTION_DOUBLINGS = 5;

  /** Failure-free time after which the ejection time falls back to its base. */
  private static final long FORGIVE_NANOS = 60_000_000_000L;

  /** Time that a refusal counts as a sign of saturation. */
  private static final long REFUSAL_NANOS = 100_000_000L;

  /** Time that a reported load is believed; reports of an unused target are old. */
  private static final long LOAD_NANOS = 1_000_000_000L;

  /** Time in which the weight of a new target rises to its full value. */
  private static final long SLOW_START_NANOS = 5_000_000_000L;

  private static final double SLOW_START_MIN_WEIGHT = 0.1;
  private static final long NEVER = Long.MIN_VALUE;

  private Target target;
  private final long sinceNanos;
  private final boolean slowStart;
  private int inFlight;
  private double relativeLatency = 1;
  private int latencySamples;
  private double failureRate;
  private double recentFailures;
  private long recentAsOfNanos;
  private int consecutiveFailures;
  private int ejections;
  private long ejectedUntilNanos = NEVER;
  private long lastEjectionEndNanos = NEVER;
  private long refusedAtNanos = NEVER;
  private GateLoad load = GateLoad.IDLE;
  private long loadAtNanos = NEVER;

  TargetStats(Target target, boolean slowStart, long nowNanos) {
    this.target = target;
    this.slowStart = slowStart;
    this.sinceNanos = nowNanos;
  }

  Target target() {
    return target;
  }

  void update(Target newTarget) {
    target = newTarget;
  }

  int inFlight() {
    return inFlight;
  }

  boolean takesNewWork() {
    return target.state() == TargetState.UP;
  }

  boolean isEjected(long nowNanos) {
    return ejectedUntilNanos != NEVER && nowNanos - ejectedUntilNanos < 0;
  }

  /** Returns true if the target refused lately or reports a queue. */
  boolean isSaturated(long nowNanos) {
    if (refusedAtNanos != NEVER && nowNanos - refusedAtNanos < REFUSAL_NANOS) {
      return true;
    }
    return loadIsRecent(nowNanos) && load.queued() > 0 && load.inFlight() >= load.limit();
  }

  /** Returns the expected cost of one more attempt; lower is better. */
  double cost(long nowNanos) {
    double work = inFlight + 1.0;
    if (loadIsRecent(nowNanos)) {
      work = Math.max(work, load.inFlight() + 1.0) + load.queued();
    }
    double capacity = loadIsRecent(nowNanos) ? load.limit() : target.slots();
    double cost = relativeLatency * (1 + work / Math.max(1, capacity)) / warmth(nowNanos);
    return isSaturated(nowNanos) ? cost * 2 : cost;
  }

  /** Returns the part of the last attempts that failed; it fades while nothing is tried. */
  double recentFailures(long nowNanos) {
    long elapsedNanos = nowNanos - recentAsOfNanos;
    if (elapsedNanos > 0) {
      recentFailures *= Math.pow(0.5, elapsedNanos / RECENT_HALF_LIFE_NANOS);
      recentAsOfNanos = nowNanos;
    }
    return recentFailures;
  }

  void onStart() {
    inFlight++;
  }

  /**
   * Counts the end of an attempt and returns true if the target should be ejected.
   *
   * @param attemptRelativeLatency latency of a success as a multiple of the typical one
   */
  boolean onEnd(AttemptResult result, double attemptRelativeLatency, long nowNanos) {
    inFlight = Math.max(0, inFlight - 1);
    if (result == AttemptResult.SUCCESS || result == AttemptResult.FAILURE) {
      double failed = result == AttemptResult.FAILURE ? 1 : 0;
      recentFailures = recentFailures(nowNanos) + RECENT_WEIGHT * (failed - recentFailures);
    }
    switch (result) {
      case SUCCESS -> {
        consecutiveFailures = 0;
        failureRate *= 1 - FAILURE_WEIGHT;
        latencySamples++;
        double weight = Math.max(LATENCY_WEIGHT, 1.0 / (latencySamples + 1));
        relativeLatency += weight * (attemptRelativeLatency - relativeLatency);
      }
      case REFUSED -> refusedAtNanos = nowNanos;
      case FAILURE -> {
        consecutiveFailures++;
        failureRate += FAILURE_WEIGHT * (1 - failureRate);
      }
      case CANCELLED -> {
        // The caller left, so nothing was learned about the target.
      }
    }
    return result == AttemptResult.FAILURE
        && !isEjected(nowNanos)
        && (consecutiveFailures >= FAILURES_TO_EJECT || failureRate > FAILURE_RATE_TO_EJECT);
  }

  void onLoad(GateLoad newLoad, long nowNanos) {
    load = newLoad;
    loadAtNanos = nowNanos;
  }

  /** Ejects the target, for twice as long as the last time. */
  void eject(long nowNanos) {
    if (lastEjectionEndNanos != NEVER && nowNanos - lastEjectionEndNanos > FORGIVE_NANOS) {
      ejections = 0;
    }
    ejectedUntilNanos =
        nowNanos + (BASE_EJECTION_NANOS << Math.min(ejections, MAX_EJECTION_DOUBLINGS));
    lastEjectionEndNanos = ejectedUntilNanos;
    ejections++;
    // One more failure after the ejection ejects the target again.
    consecutiveFailures = FAILURES_TO_EJECT - 1;
    failureRate = 0;
  }

  private double warmth(long nowNanos) {
    if (!slowStart || nowNanos - sinceNanos >= SLOW_START_NANOS) {
      return 1;
    }
    return Math.max(SLOW_START_MIN_WEIGHT, (double) (nowNanos - sinceNanos) / SLOW_START_NANOS);
  }

  private boolean loadIsRecent(long nowNanos) {
    return loadAtNanos != NEVER && nowNanos - loadAtNanos < LOAD_NANOS;
  }
}
