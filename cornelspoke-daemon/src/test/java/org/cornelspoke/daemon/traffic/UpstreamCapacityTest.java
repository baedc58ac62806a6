package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.admission.Completion;
import org.cornelspoke.coordination.admission.LearnedCapacity;
import org.cornelspoke.coordination.admission.LearnedLimit;
import org.cornelspoke.coordination.admission.WorkKind;
import org.cornelspoke.coordination.routing.RequestKind;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.protocol.call.TargetEstimate;
import org.junit.jupiter.api.Test;

final class UpstreamCapacityTest {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final ServiceName SERVICE = new ServiceName("svc");
  private static final RequestKind KIND = new RequestKind(SERVICE, TrafficClass.INTERACTIVE, false);
  private static final WorkKind WORK = KIND.workKind();
  private static final TargetId TARGET = new TargetId("t-1");
  private static final ProcessId PROCESS = new ProcessId("i-1", 7);

  private final TargetEstimates callers = new TargetEstimates();

  /** Guards against an estimate that is lost with the daemon although the upstream runs on. */
  @Test
  void callersReturnTheEstimateToARestartedDaemon() {
    UpstreamCapacity before = capacity(PROCESS);
    play(before, 40 * MILLI);
    TargetEstimate estimate = before.estimate(WORK).orElseThrow();
    assertThat(estimate.concurrency()).isEqualTo(94);
    callers.onResponse(TARGET, KIND, Optional.of(estimate), 0);

    assertThat(callers.toReturn(TARGET, KIND, 100 * MILLI)).isEqualTo(Optional.empty());
    UpstreamCapacity restarted = capacity(PROCESS);
    assertThat(restarted.estimate(WORK)).isEqualTo(Optional.empty());
    // A response of the restarted daemon without an estimate doesn't erase the one it needs.
    callers.onResponse(TARGET, KIND, Optional.empty(), 300 * MILLI);
    TargetEstimate returned = callers.toReturn(TARGET, KIND, 301 * MILLI).orElseThrow();
    restarted.onEarlierEstimate(WORK, returned);
    assertThat(restarted.estimate(WORK)).isEqualTo(Optional.of(estimate));
  }

  /** Guards against an estimate that outlives its process. */
  @Test
  void estimatesOfAnotherProcessAreIgnored() {
    UpstreamCapacity next = capacity(new ProcessId("i-2", 9));
    next.onEarlierEstimate(WORK, new TargetEstimate(PROCESS.toString(), 30, 40_000));
    assertThat(next.estimate(WORK)).isEqualTo(Optional.empty());
  }

  /** Guards against callers' numbers that replace what the daemon has measured itself. */
  @Test
  void measuredWorkTimesAreKept() {
    UpstreamCapacity capacity = capacity(PROCESS);
    play(capacity, 40 * MILLI);
    capacity.onEarlierEstimate(
        WORK, new TargetEstimate(PROCESS.toString(), 1, TargetEstimate.MAX_WORK_MICROS));
    TargetEstimate estimate = capacity.estimate(WORK).orElseThrow();
    assertThat(estimate.workMicros()).isEqualTo(40_000);
    assertThat(estimate.concurrency()).isAtLeast(25);
  }

  /** Guards against lines of over 64 bytes, which a receiver may refuse together with the link. */
  @Test
  void longNamesOfProcessesGetNoEstimate() {
    UpstreamCapacity capacity = capacity(new ProcessId("x".repeat(100), 1));
    play(capacity, 40 * MILLI);
    assertThat(capacity.estimate(WORK)).isEqualTo(Optional.empty());
  }

  /** Guards against a switched off mechanism that sends or uses estimates. */
  @Test
  void withoutALearnedCapacityThereAreNoEstimates() {
    UpstreamCapacity off = new UpstreamCapacity(SERVICE, Optional.of(PROCESS), Optional.empty());
    play(off, 40 * MILLI);
    off.onEarlierEstimate(WORK, new TargetEstimate(PROCESS.toString(), 30, 40_000));
    assertThat(off.estimate(WORK)).isEqualTo(Optional.empty());
  }

  /** Guards against metrics that operators can't read the learned values from. */
  @Test
  void metricsShowTheLearnedValues() {
    UpstreamCapacity capacity = capacity(PROCESS);
    play(capacity, 40 * MILLI);
    MetricRegistry registry = new MetricRegistry();
    capacity.updateMetrics(registry, new Fakes.FirstUntriedSelector(), TimeUnit.SECONDS.toNanos(9));
    Gauge<?> concurrency = registry.getGauges().get("upstream.svc.learned-concurrency");
    Gauge<?> work = registry.getGauges().get("upstream.svc.work-micros.INTERACTIVE");
    assertThat(concurrency.getValue()).isEqualTo(94);
    assertThat(work.getValue()).isEqualTo(40_000L);
  }

  private static UpstreamCapacity capacity(ProcessId process) {
    LearnedLimit limit = new LearnedLimit(100, 0.25, 100 * MILLI);
    return new UpstreamCapacity(
        SERVICE, Optional.of(process), Optional.of(new LearnedCapacity(limit, 100 * MILLI)));
  }

  private static void play(UpstreamCapacity capacity, long workNanos) {
    long now = TimeUnit.SECONDS.toNanos(1);
    for (int i = 0; i < 50; i++) {
      capacity.onTick(now);
      capacity.onSent(now);
      now += workNanos;
      capacity.onEnded(WORK, now - workNanos, 0, Completion.SUCCESS, now);
    }
  }
}
