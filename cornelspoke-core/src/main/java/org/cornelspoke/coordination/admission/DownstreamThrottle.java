package org.cornelspoke.coordination.admission;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.model.TrafficClass;

/**
 * Lowers the part of root requests that is started while many of those that run end with a server
 * error.
 *
 * <p>Answers overload of a service deep in the call graph: one rejected call fails its whole chain,
 * so that few rejections below waste most of the work above. Fewer started chains make more of them
 * complete. The most urgent class gives way last and least. The part rises again by steps once the
 * errors fade, so that a short fault leaves no lasting limit.
 */
public final class DownstreamThrottle implements RootThrottle {

  private static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** A window with fewer ends says too little and is extended. */
  private static final int MIN_SAMPLES = 8;

  /** Part of errors that upstreams and single lost answers cause without any overload. */
  private static final double TOLERATED_PART = 0.12;

  /** The same for the most urgent class. */
  private static final double TOLERATED_CRITICAL_PART = 0.35;

  /** Part of the error ratio by which one window lowers the admitted part. */
  private static final double DECREASE = 0.6;

  private static final double INCREASE = 0.08;
  private static final double LEAST_ADMITTED_PART = 0.15;
  private static final double LEAST_CRITICAL_PART = 0.5;

  private static final class ClassState {
    private final boolean critical;
    private double admittedPart = 1;
    private double credit;
    private long windowStartNanos;
    private int ended;
    private int failed;

    private ClassState(boolean critical) {
      this.critical = critical;
    }

    private boolean admit() {
      credit = Math.min(1, credit + admittedPart);
      if (credit < 1) {
        return false;
      }
      credit -= 1;
      return true;
    }

    private void closeWindow(long nowNanos) {
      double ratio = (double) failed / ended;
      if (ratio > (critical ? TOLERATED_CRITICAL_PART : TOLERATED_PART)) {
        double least = critical ? LEAST_CRITICAL_PART : LEAST_ADMITTED_PART;
        admittedPart = Math.max(least, admittedPart * (1 - DECREASE * ratio));
      } else {
        admittedPart = Math.min(1, admittedPart + INCREASE);
      }
      windowStartNanos = nowNanos;
      ended = 0;
      failed = 0;
    }
  }

  private final Map<TrafficClass, ClassState> classes = new EnumMap<>(TrafficClass.class);

  /** Creates a throttle that admits everything at first. */
  public DownstreamThrottle() {
    for (TrafficClass trafficClass : TrafficClass.values()) {
      classes.put(trafficClass, new ClassState(trafficClass == TrafficClass.CRITICAL));
    }
  }

  @Override
  public boolean admits(TrafficClass trafficClass, long nowNanos) {
    return classes.get(trafficClass).admit();
  }

  @Override
  public void onCompleted(TrafficClass trafficClass, boolean failed, long nowNanos) {
    ClassState state = classes.get(trafficClass);
    state.ended++;
    state.failed += failed ? 1 : 0;
    if (state.ended >= MIN_SAMPLES && nowNanos - state.windowStartNanos >= WINDOW_NANOS) {
      state.closeWindow(nowNanos);
    }
  }
}
