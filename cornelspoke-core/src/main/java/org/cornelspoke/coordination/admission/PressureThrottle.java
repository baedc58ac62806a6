package org.cornelspoke.coordination.admission;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.model.TrafficClass;

/**
 * Lowers the part of root requests that is started while the calls of those that run wait at the
 * gates below.
 *
 * <p>Answers overload of a service deep in the call graph: a chain of calls that waits at each of
 * them fails as a whole, after most of its work. Fewer started chains keep the queues below short,
 * so that nearly all that are started complete. Classes below the most urgent one give way first.
 */
public final class PressureThrottle implements RootRequestThrottle {

  /** Pressure that is held: the deep service has always work, and a call waits half its time. */
  private static final double TARGET_PERCENT = 50;

  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Steps that are made up for after a pause; a longer pause proves that nothing is below. */
  private static final int MAX_STEPS = 100;

  /** Change of the reduction in one step for a pressure that is wrong by the whole target. */
  private static final double GAIN = 0.02;

  /** The same for a pressure below the target; empty queues end the whole reduction in 2.7 s. */
  private static final double RELEASE_GAIN = 0.03;

  /** Bounds the effect of a pressure far above the target, which is known late. */
  private static final double MAX_ERROR = 3;

  /** Part of root requests that is always started, as a probe. */
  private static final double LEAST_PART = 0.05;

  /**
   * Reduction at which the most urgent class begins to give way; the others are at their least
   * before.
   */
  private static final double CRITICAL_FROM = 1.1;

  private static final double MAX_REDUCTION = 1.6;

  private final Map<TrafficClass, Double> credits = new EnumMap<>(TrafficClass.class);
  private double reduction;
  private long steppedNanos;
  private boolean started;

  @Override
  public boolean tryAdmit(TrafficClass trafficClass, int pressurePercent, long nowNanos) {
    step(pressurePercent, nowNanos);
    double part = Math.min(1, Math.max(LEAST_PART, admittedPart(trafficClass)));
    double credit = Math.min(1, credits.getOrDefault(trafficClass, 0.0) + part);
    boolean admitted = credit >= 1;
    credits.put(trafficClass, admitted ? credit - 1 : credit);
    return admitted;
  }

  private double admittedPart(TrafficClass trafficClass) {
    return trafficClass == TrafficClass.CRITICAL
        ? 1 - Math.max(0, reduction - CRITICAL_FROM)
        : 1 - reduction;
  }

  private void step(int pressurePercent, long nowNanos) {
    if (!started) {
      started = true;
      steppedNanos = nowNanos;
    }
    long steps = Math.min(MAX_STEPS, (nowNanos - steppedNanos) / STEP_NANOS);
    if (steps <= 0) {
      return;
    }
    steppedNanos = nowNanos;
    double error = Math.min(MAX_ERROR, (pressurePercent - TARGET_PERCENT) / TARGET_PERCENT);
    double gain = error < 0 ? RELEASE_GAIN : GAIN;
    reduction = Math.max(0, Math.min(MAX_REDUCTION, reduction + gain * error * steps));
  }
}
