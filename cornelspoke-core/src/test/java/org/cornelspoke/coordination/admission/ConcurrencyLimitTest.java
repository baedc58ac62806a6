package org.cornelspoke.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against limits that follow the announced slots or a single overload signal instead of the
 * real capacity of the upstream.
 */
class ConcurrencyLimitTest {

  private static final long SECOND = 1_000_000_000L;

  /** Closed-loop load that always keeps as many requests in flight as the limit allows. */
  private static final class SaturatedUpstream {
    private final UpstreamModel upstream;
    private final ConcurrencyLimit limit;
    private final RandomGenerator random = new Well19937c(17);
    private double serviceNanos = 20e6;
    private double latencySumNanos;
    private int inFlight;
    private int completed;

    SaturatedUpstream(ConcurrencyLimit limit, int slots) {
      this.limit = limit;
      upstream = new UpstreamModel(slots);
      fill();
    }

    private void fill() {
      while (inFlight < limit.limit()) {
        inFlight++;
        long startNanos = upstream.nowNanos();
        upstream.serve(
            (long) (-Math.log(1 - random.nextDouble()) * serviceNanos),
            () -> {
              long now = upstream.nowNanos();
              limit.onCompleted(now - startNanos, inFlight, Completion.SUCCESS, now);
              inFlight--;
              completed++;
              latencySumNanos += now - startNanos;
              fill();
            });
      }
    }

    double throughput(long seconds) {
      int before = completed;
      latencySumNanos = 0;
      upstream.runUntil(upstream.nowNanos() + seconds * SECOND);
      return (double) (completed - before) / seconds;
    }
  }

  @ParameterizedTest
  @EnumSource(names = "FIXED", mode = EnumSource.Mode.EXCLUDE)
  void coldUpstreamReachesItsCapacityWithin5s(LimitAlgorithm algorithm) {
    SaturatedUpstream run = new SaturatedUpstream(algorithm.create(40), 40);
    assertThat(run.limit.limit()).isAtMost(10);
    run.throughput(5);
    assertThat(run.throughput(10)).isAtLeast(0.9 * 40 / 0.02);
  }

  @ParameterizedTest
  @EnumSource(names = "FIXED", mode = EnumSource.Mode.EXCLUDE)
  void announcingTenTimesTheSlotsHardlyRaisesTheLatency(LimitAlgorithm algorithm) {
    SaturatedUpstream run = new SaturatedUpstream(algorithm.create(400), 40);
    run.throughput(20);
    assertThat(run.throughput(10)).isAtLeast(0.9 * 40 / 0.02);
    double meanLatencyNanos = run.latencySumNanos / (10 * 40 / 0.02);
    // A fixed limit has ten times the service time. The baselines of the gradient and Vegas limits
    // include some queueing from the ramp-up (4.6 to 4.8 times the service time measured).
    int bound = algorithm == LimitAlgorithm.AIMD ? 4 : 5;
    assertThat(meanLatencyNanos).isLessThan(bound * 20e6);
  }

  @Test
  void fixedLimitFailsTheAnnouncementCheck() {
    SaturatedUpstream run = new SaturatedUpstream(new FixedLimit(400), 40);
    run.throughput(20);
    run.throughput(10);
    assertThat(run.latencySumNanos / (10 * 40 / 0.02)).isGreaterThan(5 * 20e6);
  }

  @ParameterizedTest
  @EnumSource(names = "FIXED", mode = EnumSource.Mode.EXCLUDE)
  void adaptsToHalvedAndRestoredCapacityWithin5s(LimitAlgorithm algorithm) {
    SaturatedUpstream run = new SaturatedUpstream(algorithm.create(40), 40);
    run.throughput(10);
    run.upstream.setSlots(20);
    run.throughput(5);
    assertThat(run.throughput(10)).isAtLeast(0.9 * 20 / 0.02);
    run.upstream.setSlots(40);
    run.throughput(5);
    assertThat(run.throughput(5)).isAtLeast(0.9 * 40 / 0.02);
  }

  @ParameterizedTest
  @EnumSource(names = "FIXED", mode = EnumSource.Mode.EXCLUDE)
  void slowerServiceDoesNotCollapseTheLimit(LimitAlgorithm algorithm) {
    SaturatedUpstream run = new SaturatedUpstream(algorithm.create(40), 40);
    run.throughput(10);
    run.serviceNanos = 80e6;
    run.throughput(5);
    assertThat(run.throughput(10)).isAtLeast(0.8 * 40 / 0.08);
  }

  @ParameterizedTest
  @EnumSource(names = "FIXED", mode = EnumSource.Mode.EXCLUDE)
  void shedsAndTimeoutsLowerTheLimitWithinTheAnnouncedSlots(LimitAlgorithm algorithm) {
    for (Completion completion : new Completion[] {Completion.SHED, Completion.TIMEOUT}) {
      ConcurrencyLimit limit = algorithm.create(100);
      long now = 0;
      for (int i = 0; i < 2000; i++) {
        now += 1_000_000;
        limit.onCompleted(10_000_000, limit.limit(), Completion.SUCCESS, now);
        assertThat(limit.limit()).isAtMost(100);
      }
      int before = limit.limit();
      for (int i = 0; i < 1000; i++) {
        now += 1_000_000;
        limit.onCompleted(10_000_000, limit.limit(), completion, now);
      }
      assertThat(limit.limit()).isLessThan(before / 2);
      assertThat(limit.limit()).isAtLeast(1);
      limit.setAnnouncedSlots(1);
      assertThat(limit.limit()).isEqualTo(1);
    }
  }
}
