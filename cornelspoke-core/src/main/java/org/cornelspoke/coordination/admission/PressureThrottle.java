package org.cornelspoke.coordination.admission;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;

/**
 * Reduces the fraction of root requests that are started while nested calls queue at downstream
 * gates.
 *
 * <p>Protects against overload of a service deep in the call graph: a call chain that queues at
 * every call fails as a whole after most of its work is done. Starting fewer chains keeps the
 * downstream queues short, so that nearly all started chains complete. Classes below the highest
 * one are throttled first.
 */
public final class PressureThrottle implements RootRequestThrottle {

  /**
   * Target pressure: the overloaded service always has work, and a call queues for half of its
   * service time.
   */
  private static final double TARGET_PERCENT = 50;

  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Maximum steps applied after a pause; a longer pause means that no calls are downstream. */
  private static final int MAX_STEPS = 100;

  /** Change of the reduction per step for a relative error of 1. */
  private static final double GAIN = 0.02;

  /** Gain below the target; with empty queues the full reduction is removed in 2.7 s. */
  private static final double RELEASE_GAIN = 0.03;

  /** Bounds the effect of a pressure far above the target, which is reported with a delay. */
  private static final double MAX_ERROR = 3;

  /** Fraction of root requests that is always started, as probes. */
  private static final double MIN_ADMITTED_FRACTION = 0.05;

  /**
   * Reduction above which the highest class is throttled; the other classes are at their minimum by
   * then.
   */
  private static final double CRITICAL_REDUCTION_THRESHOLD = 1.1;

  private static final double MAX_REDUCTION = 1.6;

  private final Map<TrafficClass, Double> credits = new EnumMap<>(TrafficClass.class);
  private double reduction;
  private long lastStepAtNanos;
  private boolean started;

  @Override
  public boolean tryAdmit(
      TrafficClass trafficClass, AccountId account, int pressurePercent, long nowNanos) {
    step(pressurePercent, nowNanos);
    double fraction = Math.min(1, Math.max(MIN_ADMITTED_FRACTION, admittedFraction(trafficClass)));
    double credit = Math.min(1, credits.getOrDefault(trafficClass, 0.0) + fraction);
    boolean admitted = credit >= 1;
    credits.put(trafficClass, admitted ? credit - 1 : credit);
    return admitted;
  }

  private double admittedFraction(TrafficClass trafficClass) {
    return trafficClass == TrafficClass.CRITICAL
        ? 1 - Math.max(0, reduction - CRITICAL_REDUCTION_THRESHOLD)
        : 1 - reduction;
  }

  private void step(int pressurePercent, long nowNanos) {
    if (!started) {
      started = true;
      lastStepAtNanos = nowNanos;
    }
    long steps = Math.min(MAX_STEPS, (nowNanos - lastStepAtNanos) / STEP_NANOS);
    if (steps <= 0) {
      return;
    }
    lastStepAtNanos = nowNanos;
    double error = Math.min(MAX_ERROR, (pressurePercent - TARGET_PERCENT) / TARGET_PERCENT);
    double gain = error < 0 ? RELEASE_GAIN : GAIN;
    reduction = Math.max(0, Math.min(MAX_REDUCTION, reduction + gain * error * steps));
  }
}
