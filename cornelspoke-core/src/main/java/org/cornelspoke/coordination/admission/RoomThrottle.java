package org.cornelspoke.coordination.admission;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;

/**
 * Admits the fraction of the root requests of each class and account for which the services that
 * their nested calls use report capacity.
 *
 * <p>Made for many callers that compete for one service deep in the call graph. Requests are
 * admitted at random, since a fixed pattern could favour an account whose requests come at regular
 * intervals.
 */
public final class RoomThrottle implements RootRequestThrottle {

  private static final double RATE_AVERAGE_SECONDS = 1;
  private static final double MIN_ADMITTED_PER_SECOND = 0.2;
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long MIN_RETRY_AFTER_MILLIS = 50;
  private static final long MAX_RETRY_AFTER_MILLIS = 5_000;

  /** Admission rate of a class and the time at which the next refused request may be admitted. */
  private static final class ClassState {
    private double admittedPerSecond;
    private long updatedAtNanos;
    private long nextFreeAtNanos;

    void decay(long nowNanos) {
      double elapsedSeconds = Math.max(0, nowNanos - updatedAtNanos) / NANOS_PER_SECOND;
      admittedPerSecond *= Math.exp(-elapsedSeconds / RATE_AVERAGE_SECONDS);
      updatedAtNanos = nowNanos;
    }
  }

  private final RoomReports reports = new RoomReports();
  private final Map<TrafficClass, ClassState> classes = new EnumMap<>(TrafficClass.class);
  private final SplittableRandom random;

  /** Creates a throttle that admits all requests until a called service reports. */
  public RoomThrottle(SplittableRandom random) {
    this.random = random;
  }

  @Override
  public boolean tryAdmit(
      TrafficClass trafficClass, AccountId account, int pressurePercent, long nowNanos) {
    double fraction = admittedFraction(trafficClass, account, nowNanos);
    boolean admitted = fraction >= 1 || random.nextDouble() < fraction;
    if (admitted) {
      ClassState state = state(trafficClass, nowNanos);
      state.decay(nowNanos);
      state.admittedPerSecond += 1 / RATE_AVERAGE_SECONDS;
    }
    return admitted;
  }

  @Override
  public void onRoom(TrafficClass trafficClass, AccountId account, double room, long nowNanos) {
    reports.add(trafficClass, account, room, nowNanos);
  }

  @Override
  public double admittedFraction(TrafficClass trafficClass, AccountId account, long nowNanos) {
    return reports.fraction(trafficClass, account, nowNanos);
  }

  /**
   * Returns the time after which as many requests have been admitted as were told to come back
   * before this one.
   */
  @Override
  public long retryAfterMillis(TrafficClass trafficClass, long nowNanos) {
    ClassState state = state(trafficClass, nowNanos);
    state.decay(nowNanos);
    double perSecond = Math.max(MIN_ADMITTED_PER_SECOND, state.admittedPerSecond);
    long nextNanos =
        Math.max(nowNanos, state.nextFreeAtNanos) + (long) (NANOS_PER_SECOND / perSecond);
    long maxNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(MAX_RETRY_AFTER_MILLIS);
    state.nextFreeAtNanos = Math.min(maxNanos, nextNanos);
    return Math.max(
        MIN_RETRY_AFTER_MILLIS, TimeUnit.NANOSECONDS.toMillis(state.nextFreeAtNanos - nowNanos));
  }

  private ClassState state(TrafficClass trafficClass, long nowNanos) {
    ClassState state = classes.get(trafficClass);
    if (state == null) {
      state = new ClassState();
      state.updatedAtNanos = nowNanos;
      state.nextFreeAtNanos = nowNanos;
      classes.put(trafficClass, state);
    }
    return state;
  }
}
