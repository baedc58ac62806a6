package org.cornelspoke.coordination.routing;

import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.coordination.admission.WorkKind;
import org.cornelspoke.coordination.routing.TargetSelector.AttemptResult;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.registry.TargetState;

/** Statistics of one target as observed by the selector. */
final class TargetStats {

  /** Minimum weight of a latency sample; the mean covers about the last 20 attempts. */
  private static final double LATENCY_WEIGHT = 0.1;

  /** Number of consecutive failures after which a target is ejected. */
  private static final int FAILURES_TO_EJECT = 5;

  /** Failure ratio above which a target is ejected even without consecutive failures. */
  private static final double FAILURE_RATIO_TO_EJECT = 0.6;

  private static final double FAILURE_RATIO_WEIGHT = 0.05;

  /** Weight of a result in the recent failure ratio, which covers about the last ten attempts. */
  private static final double RECENT_FAILURE_WEIGHT = 0.1;

  /** Half-life of the recent failure ratio while the target is not chosen. */
  private static final double RECENT_FAILURE_HALF_LIFE_NANOS = 1_500_000_000L;

  private static final long BASE_EJECTION_NANOS = 1_000_000_000L;
  private static final int MAX_EJECTION_DOUBLINGS = 5;

  /** Time without ejection after which the ejection duration is reset to its base. */
  private static final long EJECTION_RESET_NANOS = 60_000_000_000L;

  /** Time for which a refusal marks the target as saturated. */
  private static final long REFUSAL_VALIDITY_NANOS = 100_000_000L;

  /** Validity of a reported load; an unused target sends no new reports. */
  private static final long LOAD_VALIDITY_NANOS = 1_000_000_000L;

  /** Time in which the weight of a new target increases to its full value. */
  private static final long SLOW_START_NANOS = 5_000_000_000L;

  private static final double SLOW_START_MIN_WEIGHT = 0.1;
  private static final long NEVER = Long.MIN_VALUE;

  /** Validity of an estimate; every response renews it. */
  private static final long ESTIMATE_VALIDITY_NANOS = 30_000_000_000L;

  private Target target;
  private final long createdAtNanos;
  private final boolean slowStart;
  private int inFlight;
  private double relativeLatency = 1;
  private int latencySampleCount;
  private double failureRatio;
  private double recentFailureRatio;
  private long recentFailureRatioAtNanos;
  private int consecutiveFailures;
  private int ejections;
  private long ejectedUntilNanos = NEVER;
  private long lastEjectionEndNanos = NEVER;
  private long refusedAtNanos = NEVER;
  private GateLoad load = GateLoad.IDLE;
  private long loadAtNanos = NEVER;
  private int sentSinceReport;
  private final long[] estimatedWorkNanos = new long[WorkKind.COUNT];
  private int estimatedConcurrency;
  private long estimatedAtNanos = NEVER;

  TargetStats(Target target, boolean slowStart, long nowNanos) {
    this.target = target;
    this.slowStart = slowStart;
    this.createdAtNanos = nowNanos;
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

  boolean acceptsNewRequests() {
    return target.state() == TargetState.UP;
  }

  boolean isEjected(long nowNanos) {
    return ejectedUntilNanos != NEVER && nowNanos - ejectedUntilNanos < 0;
  }

  /** Returns true if the target recently refused a request or reports a queue at its limit. */
  boolean isSaturated(long nowNanos) {
    if (refusedAtNanos != NEVER && nowNanos - refusedAtNanos < REFUSAL_VALIDITY_NANOS) {
      return true;
    }
    return loadIsRecent(nowNanos) && load.queued() > 0 && load.inFlight() >= load.limit();
  }

  /** Returns the estimated cost of another attempt; lower is better. */
  double cost(long nowNanos) {
    double requests = inFlight + 1.0;
    if (loadIsRecent(nowNanos)) {
      requests = Math.max(requests, load.inFlight() + 1.0) + load.queued();
    }
    double capacity = loadIsRecent(nowNanos) ? load.limit() : target.slots();
    double cost =
        relativeLatency * (1 + requests / Math.max(1, capacity)) / slowStartWeight(nowNanos);
    return isSaturated(nowNanos) ? cost * 2 : cost;
  }

  /** Returns the failure ratio of the last attempts, which decays while there are no attempts. */
  double recentFailureRatio(long nowNanos) {
    long elapsedNanos = nowNanos - recentFailureRatioAtNanos;
    if (elapsedNanos > 0) {
      recentFailureRatio *= Math.pow(0.5, elapsedNanos / RECENT_FAILURE_HALF_LIFE_NANOS);
      recentFailureRatioAtNanos = nowNanos;
    }
    return recentFailureRatio;
  }

  void onStart() {
    inFlight++;
    sentSinceReport++;
  }

  /**
   * Records the result of an attempt and returns true if the target should be ejected.
   *
   * @param attemptRelativeLatency latency of a success as a multiple of the mean latency
   */
  boolean onEnd(AttemptResult result, double attemptRelativeLatency, long nowNanos) {
    inFlight = Math.max(0, inFlight - 1);
    if (result == AttemptResult.SUCCESS || result == AttemptResult.FAILURE) {
      double failed = result == AttemptResult.FAILURE ? 1 : 0;
      recentFailureRatio =
          recentFailureRatio(nowNanos) + RECENT_FAILURE_WEIGHT * (failed - recentFailureRatio);
    }
    switch (result) {
      case SUCCESS -> {
        consecutiveFailures = 0;
        failureRatio *= 1 - FAILURE_RATIO_WEIGHT;
        latencySampleCount++;
        double weight = Math.max(LATENCY_WEIGHT, 1.0 / (latencySampleCount + 1));
        relativeLatency += weight * (attemptRelativeLatency - relativeLatency);
      }
      case REFUSED -> refusedAtNanos = nowNanos;
      case FAILURE -> {
        consecutiveFailures++;
        failureRatio += FAILURE_RATIO_WEIGHT * (1 - failureRatio);
      }
      case CANCELLED -> {
        // A cancellation by the caller carries no information about the target.
      }
    }
    return result == AttemptResult.FAILURE
        && !isEjected(nowNanos)
        && (consecutiveFailures >= FAILURES_TO_EJECT || failureRatio > FAILURE_RATIO_TO_EJECT);
  }

  void onLoad(GateLoad newLoad, long nowNanos) {
    load = newLoad;
    loadAtNanos = nowNanos;
    sentSinceReport = 0;
  }

  /** Returns the requests that the target reported as running or waiting. */
  int reportedRequests() {
    return load.inFlight() + load.queued();
  }

  /** Returns the attempts that were started after the last report. */
  int sentSinceReport() {
    return sentSinceReport;
  }

  long loadAgeNanos(long nowNanos) {
    return nowNanos - loadAtNanos;
  }

  double relativeLatency() {
    return relativeLatency;
  }

  /**
   * Records an estimate of the target's daemon. A concurrency of 0 means that there is none for
   * this kind of request.
   */
  void onEstimate(int kindIndex, int concurrency, long workNanos, long nowNanos) {
    if (concurrency <= 0) {
      estimatedWorkNanos[kindIndex] = 0;
      return;
    }
    estimatedConcurrency = concurrency;
    estimatedWorkNanos[kindIndex] = Math.max(0, workNanos);
    estimatedAtNanos = nowNanos;
  }

  /** Returns the estimated work time of a kind of request, or 0 if it is unknown. */
  long estimatedWorkNanos(int kindIndex, long nowNanos) {
    return estimateIsValid(nowNanos) ? estimatedWorkNanos[kindIndex] : 0;
  }

  /** Returns the requests that the target serves at a time, as far as it is known. */
  int usableConcurrency(long nowNanos) {
    if (loadIsRecent(nowNanos)) {
      return Math.min(load.limit(), target.slots());
    }
    return estimateIsValid(nowNanos)
        ? Math.min(estimatedConcurrency, target.slots())
        : target.slots();
  }

  /** Ejects the target and doubles the duration of the next ejection, up to a bound. */
  void eject(long nowNanos) {
    if (lastEjectionEndNanos != NEVER && nowNanos - lastEjectionEndNanos > EJECTION_RESET_NANOS) {
      ejections = 0;
    }
    ejectedUntilNanos =
        nowNanos + (BASE_EJECTION_NANOS << Math.min(ejections, MAX_EJECTION_DOUBLINGS));
    lastEjectionEndNanos = ejectedUntilNanos;
    ejections++;
    // A single failure after the ejection ejects the target again.
    consecutiveFailures = FAILURES_TO_EJECT - 1;
    failureRatio = 0;
  }

  private boolean estimateIsValid(long nowNanos) {
    return estimatedConcurrency > 0 && nowNanos - estimatedAtNanos < ESTIMATE_VALIDITY_NANOS;
  }

  double slowStartWeight(long nowNanos) {
    if (!slowStart || nowNanos - createdAtNanos >= SLOW_START_NANOS) {
      return 1;
    }
    return Math.max(SLOW_START_MIN_WEIGHT, (double) (nowNanos - createdAtNanos) / SLOW_START_NANOS);
  }

  boolean loadIsRecent(long nowNanos) {
    return loadAtNanos != NEVER && nowNanos - loadAtNanos < LOAD_VALIDITY_NANOS;
  }
}
