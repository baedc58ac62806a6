package org.cornelspoke.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.model.TrafficClass;
import org.junit.jupiter.api.Test;

/**
 * Guards against an overloaded deep service that fails nearly all chains, although it could serve
 * the calls of many of them.
 */
final class DownstreamThrottleTest {

  private static final int CALLS_PER_CHAIN = 4;
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  /** Chains in one step; the deep service serves the calls of half of them. */
  private static final int CHAINS_PER_STEP = 10;

  private static final int CALLS_SERVED_PER_STEP = CHAINS_PER_STEP * CALLS_PER_CHAIN / 2;

  @Test
  void moreChainsCompleteThanWithoutThrottle() {
    int without = completedChains(RootThrottle.none(), 2_000);
    int with = completedChains(new DownstreamThrottle(), 2_000);

    int possible = 2_000 * CHAINS_PER_STEP / 2;
    assertThat(without).isLessThan(possible / 4);
    assertThat(with).isAtLeast(possible * 6 / 10);
  }

  @Test
  void admitsEverythingAgainAfterTheErrorsEnd() {
    DownstreamThrottle throttle = new DownstreamThrottle();
    long now = 0;
    for (int i = 0; i < 1_000; i++) {
      now += STEP_NANOS;
      throttle.onCompleted(TrafficClass.INTERACTIVE, true, now);
    }
    assertThat(admittedOf(100, throttle, TrafficClass.INTERACTIVE)).isLessThan(20);

    for (int i = 0; i < 400; i++) {
      now += STEP_NANOS;
      throttle.onCompleted(TrafficClass.INTERACTIVE, false, now);
    }
    assertThat(admittedOf(100, throttle, TrafficClass.INTERACTIVE)).isEqualTo(100);
  }

  @Test
  void mostUrgentClassGivesWayLast() {
    DownstreamThrottle throttle = new DownstreamThrottle();
    long now = 0;
    for (int i = 0; i < 1_000; i++) {
      now += STEP_NANOS;
      boolean failed = i % 4 == 0;
      throttle.onCompleted(TrafficClass.INTERACTIVE, failed, now);
      throttle.onCompleted(TrafficClass.CRITICAL, failed, now);
    }

    assertThat(admittedOf(100, throttle, TrafficClass.CRITICAL)).isEqualTo(100);
    assertThat(admittedOf(100, throttle, TrafficClass.INTERACTIVE)).isLessThan(50);
  }

  /** Each step offers chains; the calls beyond what the deep service can serve fail at random. */
  private static int completedChains(RootThrottle throttle, int steps) {
    java.util.SplittableRandom random = new java.util.SplittableRandom(7);
    Deque<Boolean> running = new ArrayDeque<>();
    int completed = 0;
    for (int step = 1; step <= steps; step++) {
      long now = step * STEP_NANOS;
      int started = 0;
      for (int chain = 0; chain < CHAINS_PER_STEP; chain++) {
        started += throttle.admits(TrafficClass.INTERACTIVE, now) ? 1 : 0;
      }
      double served =
          Math.min(1, (double) CALLS_SERVED_PER_STEP / Math.max(1, started * CALLS_PER_CHAIN));
      for (int chain = 0; chain < started; chain++) {
        running.add(random.nextDouble() < Math.pow(served, CALLS_PER_CHAIN));
      }
      while (!running.isEmpty()) {
        boolean succeeded = running.remove();
        completed += succeeded ? 1 : 0;
        throttle.onCompleted(TrafficClass.INTERACTIVE, !succeeded, now);
      }
    }
    return completed;
  }

  private static int admittedOf(int offered, RootThrottle throttle, TrafficClass trafficClass) {
    int admitted = 0;
    for (int i = 0; i < offered; i++) {
      admitted += throttle.admits(trafficClass, 0) ? 1 : 0;
    }
    return admitted;
  }
}
