package org.cornelspoke.coordination.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Expected time until a request is complete: the wait at the target, its work time there, and the
 * way to another data centre. The load that it addresses: many callers with reports of different
 * age choose among targets of different speed and capacity.
 *
 * <p>Reports are uncertain: their deviation grows with their age, so that a target whose slots are
 * nearly full costs more if its report is older. Claims of a target about itself are bounded by
 * what this daemon has seen.
 *
 * <p>Not safe for use by several threads.
 */
public final class ExpectedCompletionCost implements TargetCost {

  /** Candidates of each group; see docs/design/learned-capacity.md for the comparison. */
  private static final int CANDIDATES = 3;

  /** Round trip to another data centre; about twice the longest one known. */
  private static final double DISTANCE_NANOS = 3_000_000;

  /** Part of the work time by which a remote target must be better, which prevents oscillation. */
  private static final double DISTANCE_WORK_FRACTION = 0.3;

  /** Age at which a report and the mean load of the service have equal weight. */
  private static final double REPORT_AGE_NANOS = 500_000_000;

  /** Deviation of the load from an old report, as a part of the concurrency. */
  private static final double OLD_REPORT_DEVIATION = 0.15;

  /** Bounds of a target's work time relative to the mean of its service. */
  private static final double MIN_RELATIVE_WORK = 0.25;

  private static final double MAX_RELATIVE_WORK = 4;

  /** A target can't claim a work time below this part of the relative latency that was seen. */
  private static final double MIN_SEEN_FRACTION = 0.5;

  private static final double REFERENCE_WEIGHT = 0.05;

  /** Bounds the effect of a false claim on the mean of a service. */
  private static final double MAX_REFERENCE_FACTOR = 2;

  /** Slope of the logistic function that is closest to the normal distribution. */
  private static final double LOGISTIC_SLOPE = 1.702;

  private static final double MAX_EXPONENT = 30;

  private final Map<RequestKind, double[]> referenceNanos = new HashMap<>();
  private int kindIndex;
  private double workNanos;
  private double meanUtilisation;

  @Override
  public TargetCost forRequest(RequestKind kind, List<TargetStats> targets, long nowNanos) {
    double[] reference = kind == null ? null : referenceNanos.get(kind);
    if (reference == null) {
      return LoadCost.INSTANCE;
    }
    kindIndex = kind.workKind().index();
    workNanos = reference[0];
    boolean known = false;
    double utilisationSum = 0;
    int reports = 0;
    for (TargetStats target : targets) {
      known |= target.estimatedWorkNanos(kindIndex, nowNanos) > 0;
      if (target.loadIsRecent(nowNanos)) {
        utilisationSum += target.reportedRequests() / concurrency(target, nowNanos);
        reports++;
      }
    }
    meanUtilisation = reports == 0 ? 0 : Math.min(1, utilisationSum / reports);
    return known ? this : LoadCost.INSTANCE;
  }

  @Override
  public double cost(TargetStats target, boolean local, long nowNanos) {
    double concurrency = concurrency(target, nowNanos);
    double requests = meanUtilisation * concurrency;
    double ageRatio = 1;
    if (target.loadIsRecent(nowNanos)) {
      double age = target.loadAgeNanos(nowNanos) / REPORT_AGE_NANOS;
      double reportWeight = 1 / (1 + age * age);
      requests =
          reportWeight * target.reportedRequests()
              + (1 - reportWeight) * requests
              + target.sentSinceReport();
      ageRatio = 1 - reportWeight;
    }
    requests = Math.max(requests, target.inFlight()) + 1;
    double deviation = Math.sqrt(requests) + ageRatio * OLD_REPORT_DEVIATION * concurrency;
    double waiting = meanExcess(requests - concurrency, deviation);
    double work = workNanos * relativeWork(target, nowNanos);
    double cost = work * (1 + waiting / concurrency) / target.slowStartWeight(nowNanos);
    if (target.isSaturated(nowNanos)) {
      cost += work;
    }
    return local ? cost : cost + DISTANCE_NANOS + DISTANCE_WORK_FRACTION * workNanos;
  }

  @Override
  public int candidateCount() {
    return CANDIDATES;
  }

  @Override
  public boolean includesDistance() {
    return true;
  }

  @Override
  public void onEstimate(RequestKind kind, long estimatedNanos) {
    double[] reference = referenceNanos.get(kind);
    if (reference == null) {
      referenceNanos.put(kind, new double[] {estimatedNanos});
      return;
    }
    double factor =
        Math.max(
            1 / MAX_REFERENCE_FACTOR,
            Math.min(MAX_REFERENCE_FACTOR, estimatedNanos / reference[0]));
    reference[0] *= 1 + REFERENCE_WEIGHT * (factor - 1);
  }

  @Override
  public double meanWorkNanos(RequestKind kind) {
    double[] reference = referenceNanos.get(kind);
    return reference == null ? 0 : reference[0];
  }

  private double relativeWork(TargetStats target, long nowNanos) {
    long estimatedNanos = target.estimatedWorkNanos(kindIndex, nowNanos);
    if (estimatedNanos == 0) {
      return target.relativeLatency();
    }
    double relative =
        Math.max(MIN_RELATIVE_WORK, Math.min(MAX_RELATIVE_WORK, estimatedNanos / workNanos));
    return Math.max(relative, MIN_SEEN_FRACTION * target.relativeLatency());
  }

  private static double concurrency(TargetStats target, long nowNanos) {
    return Math.max(1, target.usableConcurrency(nowNanos));
  }

  /** Returns the mean of the positive part of a value with this mean and standard deviation. */
  private static double meanExcess(double mean, double deviation) {
    double slope = LOGISTIC_SLOPE / deviation;
    double exponent = slope * mean;
    return exponent > MAX_EXPONENT ? mean : Math.log1p(Math.exp(exponent)) / slope;
  }
}
