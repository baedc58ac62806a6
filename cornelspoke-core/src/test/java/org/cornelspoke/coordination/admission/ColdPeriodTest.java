package org.cornelspoke.coordination.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.ClassPolicy;
import org.cornelspoke.state.config.Preset;
import org.cornelspoke.state.config.ServicePolicy;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Plays a gate beside an upstream that turns cold, in virtual time, under a load that a cold
 * upstream can't serve.
 */
class ColdPeriodTest {

  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;
  private static final long TICK_NANOS = 20 * MILLI;
  private static final long SERVICE_NANOS = 60 * MILLI;
  private static final int LOAD_PER_SECOND = 500;
  private static final double COLD_RATE = 9.1;
  private static final long COLD_START_MILLIS = 3_000;
  private static final OptionalLong WARM = OptionalLong.of(0);
  private static final OptionalLong COLD = OptionalLong.of(COLD_START_MILLIS);
  private static final UpstreamNotice COLD_NOTICE =
      new UpstreamNotice(OptionalDouble.empty(), false, COLD);

  private final List<Long> admissionsNanos = new ArrayList<>();
  private final PriorityQueue<Request> running =
      new PriorityQueue<>((a, b) -> Long.compare(a.endsAtNanos, b.endsAtNanos));
  private final Deque<Request> justAdmitted = new ArrayDeque<>();
  private DefaultUpstreamGate gate;
  private UpstreamNoticeTracker tracker;
  private Optional<StatedRate> rate;
  private long nowNanos;

  private final class Request implements UpstreamGate.Listener {
    private UpstreamGate.Ticket ticket;
    private long endsAtNanos;

    @Override
    public void onAdmitted() {
      admissionsNanos.add(nowNanos);
      justAdmitted.add(this);
    }

    @Override
    public void onRefused(RefusalReason reason, long retryAfterMillis) {}
  }

  @BeforeEach
  void startDaemon() {
    gate = new DefaultUpstreamGate(preset(), new FixedLimit(100));
    tracker = new UpstreamNoticeTracker(nowNanos);
    rate = Optional.empty();
    running.clear();
    justAdmitted.clear();
  }

  /** Guards against a window of a second in which a cold upstream gets more than it tolerates. */
  @Test
  void upstreamThatTurnsColdUnderLoadGetsItsRateAtMost() {
    for (double coldRate : new double[] {0.5, 1, 4, 9.1, 40, 100, 300}) {
      startDaemon();
      tracker.setPolicy(policy(coldRate));
      tracker.onReport(WARM, nowNanos);
      play(2_000);
      long coldAtNanos = nowNanos;
      tracker.onReport(COLD, nowNanos);
      play(COLD_START_MILLIS);

      assertEveryWindowWithin(coldRate, coldAtNanos, nowNanos);
    }
  }

  /** Guards against a gate that lets a few seconds of its rate pass unused. */
  @Test
  void coldUpstreamGetsNearlyItsRate() {
    tracker.setPolicy(policy(COLD_RATE));
    tracker.onReport(OptionalLong.of(10_000), nowNanos);
    play(10_000);

    assertThat((double) admissionsNanos.size()).isAtLeast(0.9 * 10 * COLD_RATE);
  }

  /** Guards against a burst at the first requests of an upstream that starts cold. */
  @Test
  void upstreamThatStartsColdGetsItsRateAtMost() {
    tracker.setPolicy(policy(COLD_RATE));
    tracker.onReport(COLD, nowNanos);
    play(COLD_START_MILLIS);

    assertEveryWindowWithin(COLD_RATE, 0, nowNanos);
    assertThat(admissionsNanos.size()).isAtMost((int) (3 * COLD_RATE + 1));
  }

  /** Guards against full load while it is unknown which rate a cold upstream tolerates. */
  @Test
  void coldUpstreamWithoutConfigurationGetsLessThanAnyRateTolerates() {
    tracker.onReport(COLD, nowNanos);
    play(1_000);
    assertEveryWindowWithin(0, 0, nowNanos);
    assertThat(admissionsNanos).isNotEmpty();

    tracker.setPolicy(policy(COLD_RATE));
    play(2_000);
    assertEveryWindowWithin(COLD_RATE, 0, nowNanos);
  }

  /** Guards against limits in deployments whose services have no cold rate. */
  @Test
  void serviceWithoutColdRateIsNotLimited() {
    tracker.setPolicy(Optional.empty());
    tracker.onReport(COLD, nowNanos);

    assertThat(tracker.rate(nowNanos)).isEmpty();
    assertThat(tracker.current(nowNanos)).isEqualTo(UpstreamNotice.NONE);
  }

  /** Guards against a changed configuration that takes effect after the coldness only. */
  @Test
  void changedRateAppliesWhileCold() {
    tracker.setPolicy(policy(100));
    tracker.onReport(OptionalLong.of(6_000), nowNanos);
    play(2_000);
    long changedAtNanos = nowNanos;
    tracker.setPolicy(policy(4));
    play(3_000);

    assertEveryWindowWithin(4, changedAtNanos, nowNanos);
  }

  /** Guards against full load at the moment at which the coldness ends. */
  @Test
  void rateDoublesInStepsAfterTheColdness() {
    tracker.setPolicy(policy(COLD_RATE));
    tracker.onReport(OptionalLong.of(1_000), nowNanos);

    assertThat(requestsPerSecond(999)).isEqualTo(COLD_RATE);
    assertThat(requestsPerSecond(1_000)).isEqualTo(COLD_RATE);
    assertThat(requestsPerSecond(1_250)).isEqualTo(2 * COLD_RATE);
    assertThat(requestsPerSecond(1_999)).isEqualTo(8 * COLD_RATE);
    assertThat(tracker.rate(4 * SECOND)).isEmpty();
  }

  /** Guards against an upstream that was never cold and is limited by its first report. */
  @Test
  void warmReportsStateNoRate() {
    tracker.setPolicy(policy(COLD_RATE));
    tracker.onReport(WARM, nowNanos);
    tracker.onReport(OptionalLong.empty(), nowNanos);

    assertThat(tracker.rate(nowNanos)).isEmpty();
  }

  /** Guards against a delayed report that overstates the remaining time until it has passed. */
  @Test
  void laterReportReplacesADelayedOne() {
    tracker.setPolicy(policy(COLD_RATE));
    tracker.onReport(COLD, 0);
    tracker.onReport(OptionalLong.of(500), SECOND);
    assertThat(tracker.current(SECOND).coldRemainingMillis()).hasValue(500);

    tracker.onReport(WARM, SECOND + MILLI);
    assertThat(tracker.current(SECOND + MILLI)).isEqualTo(UpstreamNotice.NONE);
  }

  /** Guards against a report without the remaining time that counts as warm. */
  @Test
  void reportWithoutRemainingTimeDoesNotEndTheColdness() {
    tracker.setPolicy(policy(COLD_RATE));
    tracker.onReport(COLD, 0);
    tracker.onReport(OptionalLong.empty(), SECOND);

    assertThat(tracker.current(SECOND).coldRemainingMillis()).hasValue(2_000);
  }

  /** Guards against a report from before the coldness that ends one stated in a response. */
  @Test
  void reportFromBeforeTheColdnessDoesNotEndTheOneOfAResponse() {
    tracker.setPolicy(policy(COLD_RATE));
    tracker.onResponse(COLD_NOTICE, 0, MILLI);
    tracker.onReport(WARM, 2 * MILLI);
    assertThat(requestsPerSecond(3)).isEqualTo(COLD_RATE);

    // A response to a request from before the statement may have been written before it.
    UpstreamNotice warm = new UpstreamNotice(OptionalDouble.empty(), false, WARM);
    tracker.onResponse(warm, 0, 4 * MILLI);
    assertThat(tracker.current(5 * MILLI).coldRemainingMillis()).isPresent();
    tracker.onResponse(warm, 5 * MILLI, 6 * MILLI);
    assertThat(tracker.current(7 * MILLI).coldRemainingMillis()).isEmpty();
  }

  /** Guards against a restarted daemon that believes a report from before the coldness. */
  @Test
  void callersTellARestartedDaemonOfTheColdness() {
    tracker.setPolicy(policy(COLD_RATE));
    tracker.onReport(WARM, 0);
    tracker.onEarlierNotice(COLD_NOTICE, MILLI);

    assertThat(requestsPerSecond(2)).isEqualTo(COLD_RATE);
  }

  /** Guards against daemons that prolong a coldness by telling each other of it. */
  @Test
  void noticesOfOtherDaemonsEndAColdStartAfterTheProcessBecameKnown() {
    tracker.setPolicy(policy(COLD_RATE));
    tracker.onReport(WARM, 0);
    for (long millis = 0; millis < 10_000; millis += 10) {
      tracker.onEarlierNotice(COLD_NOTICE, millis * MILLI);
    }

    assertThat(tracker.current(COLD_START_MILLIS * MILLI)).isEqualTo(UpstreamNotice.NONE);
    assertThat(tracker.rate(10 * SECOND)).isEmpty();
  }

  /** Guards against false statements that keep an upstream cold for ever. */
  @Test
  void statedTimeIsBounded() {
    tracker.setPolicy(policy(COLD_RATE));
    tracker.onReport(OptionalLong.of(Long.MAX_VALUE), 0);

    assertThat(tracker.current(0).coldRemainingMillis()).hasValue(ColdPeriod.MAX_REMAINING_MILLIS);
  }

  /** Guards against full load to upstreams that were restarted during an evacuation. */
  @Test
  void restoredUpstreamIsColdUntilItsNextReport() {
    tracker.setPolicy(policy(COLD_RATE));
    tracker.onReport(WARM, 0);
    tracker.onEvacuationEnded(SECOND);
    assertThat(requestsPerSecond(2_000)).isEqualTo(COLD_RATE);

    tracker.onReport(WARM, 2 * SECOND);
    assertThat(requestsPerSecond(2_250)).isEqualTo(2 * COLD_RATE);
    assertThat(tracker.rate(5 * SECOND)).isEmpty();
  }

  /** Guards against an upstream that stays limited because no report comes. */
  @Test
  void restoredUpstreamIsColdForItsColdStartAtMost() {
    tracker.setPolicy(policy(COLD_RATE));
    tracker.onEvacuationEnded(SECOND);

    assertThat(requestsPerSecond(1_000 + COLD_START_MILLIS - 1)).isEqualTo(COLD_RATE);
    assertThat(requestsPerSecond(1_000 + COLD_START_MILLIS + 250)).isEqualTo(2 * COLD_RATE);
  }

  /** Guards against one stated rate that hides a smaller one. */
  @Test
  void smallestRateApplies() {
    tracker.setPolicy(policy(COLD_RATE));
    tracker.onReport(COLD, 0);
    tracker.onResponse(new UpstreamNotice(OptionalDouble.of(2), false), 0, MILLI);
    assertThat(requestsPerSecond(2)).isEqualTo(2.0);

    tracker.onResponse(new UpstreamNotice(OptionalDouble.of(70), false), 0, MILLI);
    assertThat(requestsPerSecond(2)).isEqualTo(COLD_RATE);
  }

  private double requestsPerSecond(long millis) {
    return tracker.rate(millis * MILLI).orElseThrow().requestsPerSecond();
  }

  /** Checks the second before each admission of an interval, whatever preceded the interval. */
  private void assertEveryWindowWithin(double coldRate, long fromNanos, long toNanos) {
    int first = 0;
    for (int last = 0; last < admissionsNanos.size(); last++) {
      long admittedAtNanos = admissionsNanos.get(last);
      while (admittedAtNanos - admissionsNanos.get(first) >= SECOND) {
        first++;
      }
      if (admittedAtNanos >= fromNanos && admittedAtNanos < toNanos) {
        assertWithMessage("in 1 s at " + coldRate)
            .that((double) (last - first + 1))
            .isAtMost(1.5 * coldRate + 8);
      }
    }
  }

  private void play(long millis) {
    long endNanos = nowNanos + millis * MILLI;
    long nextTickNanos = nowNanos + TICK_NANOS;
    long nextArrivalNanos = nowNanos;
    while (nowNanos < endNanos) {
      long nextEndNanos = running.isEmpty() ? Long.MAX_VALUE : running.peek().endsAtNanos;
      nowNanos = Math.min(nextTickNanos, Math.min(nextArrivalNanos, nextEndNanos));
      if (!tracker.rate(nowNanos).equals(rate)) {
        rate = tracker.rate(nowNanos);
        gate.setRateLimit(rate, nowNanos);
      }
      if (nowNanos == nextEndNanos) {
        gate.complete(running.poll().ticket, Completion.SUCCESS, nowNanos);
      } else if (nowNanos == nextArrivalNanos) {
        submit();
        nextArrivalNanos += SECOND / LOAD_PER_SECOND;
      } else {
        gate.onTick(nowNanos);
        nextTickNanos += TICK_NANOS;
      }
      startAdmitted();
    }
    // A statement that follows comes after all events of this interval.
    nowNanos++;
  }

  private void submit() {
    Request request = new Request();
    request.ticket =
        gate.submit(
            new GateRequest(new AccountId("a"), 1, TrafficClass.INTERACTIVE, nowNanos + 5 * SECOND),
            request,
            nowNanos);
  }

  private void startAdmitted() {
    while (!justAdmitted.isEmpty()) {
      Request request = justAdmitted.poll();
      request.endsAtNanos = nowNanos + SERVICE_NANOS;
      running.add(request);
    }
  }

  private static Optional<ServicePolicy> policy(double requestsPerSecond) {
    return Optional.of(
        new ServicePolicy(new ServiceName("svc"), COLD_START_MILLIS, requestsPerSecond));
  }

  private static Preset preset() {
    ClassPolicy policy = new ClassPolicy(1, 200, 1_000, false);
    return new Preset(
        new PresetName("ordinary"),
        2,
        0.1,
        60_000,
        Map.of(
            TrafficClass.CRITICAL, policy,
            TrafficClass.INTERACTIVE, policy,
            TrafficClass.BULK, policy));
  }
}
