package org.cornelspoke.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.BuiltInPresets;
import org.junit.jupiter.api.Test;

/**
 * Guards against an overloaded downstream service that fails most call chains after most of their
 * work is done, and against a throttle that keeps refusing after the overload has ended.
 *
 * <p>Three daemons start chains of five sequential calls to one downstream service.
 */
final class PressureThrottleTest {

  private static final AccountId OPEN_ACCOUNT = new AccountId("open");
  private static final int SLOTS = 19;
  private static final int CALLS = 5;
  private static final int ROOT_DAEMONS = 3;
  private static final long CALL_NANOS = TimeUnit.MILLISECONDS.toNanos(22);
  private static final long LINK_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
  private static final long CALL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
  private static final long CHAIN_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  private static final long PHASE_NANOS = TimeUnit.SECONDS.toNanos(20);
  private static final double CHAINS_PER_SECOND = SLOTS * 1e9 / CALL_NANOS / CALLS;

  private final RandomGenerator random = new Well19937c(3);
  private final UpstreamModel upstream = new UpstreamModel(SLOTS);
  private final UpstreamGate gate =
      new DefaultUpstreamGate(BuiltInPresets.ordinary(), LimitAlgorithm.FIXED.create(SLOTS));
  private final List<RootDaemon> daemons = new ArrayList<>();
  private final Map<TrafficClass, Integer> completed = new EnumMap<>(TrafficClass.class);
  private double criticalPerSecond;
  private double interactivePerSecond;
  private int criticalOffered;
  private int failed;
  private int refused;

  private record RootDaemon(RootRequestThrottle throttle, PressureEstimator estimator) {}

  @Test
  void mostStartedChainsCompleteUnderOverload() {
    start(true);
    runPhase(0.4 * CHAINS_PER_SECOND, 1.2 * CHAINS_PER_SECOND);

    int completions = completed.values().stream().mapToInt(Integer::intValue).sum();
    assertThat(completions).isAtLeast((int) (0.85 * CHAINS_PER_SECOND * PHASE_NANOS / 1e9));
    assertThat(failed).isAtMost(completions / 20);
    assertThat(completed.get(TrafficClass.CRITICAL)).isAtLeast((int) (0.95 * criticalOffered));
  }

  @Test
  void withoutThrottleMostChainsFail() {
    start(false);
    runPhase(0.4 * CHAINS_PER_SECOND, 1.2 * CHAINS_PER_SECOND);

    int completions = completed.values().stream().mapToInt(Integer::intValue).sum();
    assertThat(failed).isAtLeast(completions / 2);
  }

  @Test
  void nothingIsRefusedBelowCapacity() {
    start(true);
    runPhase(0.3 * CHAINS_PER_SECOND, 0.4 * CHAINS_PER_SECOND);

    assertThat(refused + failed).isEqualTo(0);
  }

  @Test
  void admitsEverythingSoonAfterAnOverload() {
    start(true);
    runPhase(1.5 * CHAINS_PER_SECOND, 1.5 * CHAINS_PER_SECOND);
    criticalPerSecond = 0.2 * CHAINS_PER_SECOND;
    interactivePerSecond = 0.4 * CHAINS_PER_SECOND;
    upstream.runUntil(upstream.nowNanos() + TimeUnit.SECONDS.toNanos(4));
    refused = 0;
    failed = 0;
    upstream.runUntil(upstream.nowNanos() + PHASE_NANOS);

    assertThat(refused + failed).isEqualTo(0);
  }

  private void start(boolean throttled) {
    for (int i = 0; i < ROOT_DAEMONS; i++) {
      daemons.add(
          new RootDaemon(
              throttled ? new PressureThrottle() : RootRequestThrottle.none(),
              new PressureEstimator()));
    }
    tick();
    arrive(TrafficClass.CRITICAL);
    arrive(TrafficClass.INTERACTIVE);
  }

  private void runPhase(double critical, double interactive) {
    criticalPerSecond = critical;
    interactivePerSecond = interactive;
    upstream.runUntil(PHASE_NANOS);
  }

  private void tick() {
    gate.onTick(upstream.nowNanos());
    upstream.after(TICK_NANOS, this::tick);
  }

  private void arrive(TrafficClass trafficClass) {
    double perSecond =
        trafficClass == TrafficClass.CRITICAL ? criticalPerSecond : interactivePerSecond;
    if (perSecond > 0) {
      startChain(trafficClass);
    }
    double seconds = -Math.log(1 - random.nextDouble()) / Math.max(1, perSecond);
    upstream.after((long) (seconds * 1e9), () -> arrive(trafficClass));
  }

  private void startChain(TrafficClass trafficClass) {
    RootDaemon daemon = daemons.get(random.nextInt(ROOT_DAEMONS));
    long now = upstream.nowNanos();
    criticalOffered += trafficClass == TrafficClass.CRITICAL ? 1 : 0;
    if (daemon
        .throttle()
        .tryAdmit(trafficClass, OPEN_ACCOUNT, daemon.estimator().percent(now), now)) {
      new Chain(trafficClass, daemon, now + CHAIN_TIMEOUT_NANOS).startNextCall();
    } else {
      refused++;
    }
  }

  /** One root request with sequential calls; a refused call fails it. */
  private final class Chain {

    private final TrafficClass trafficClass;
    private final RootDaemon daemon;
    private final long deadlineNanos;
    private int callsStarted;

    Chain(TrafficClass trafficClass, RootDaemon daemon, long deadlineNanos) {
      this.trafficClass = trafficClass;
      this.daemon = daemon;
      this.deadlineNanos = deadlineNanos;
    }

    void startNextCall() {
      if (callsStarted == CALLS) {
        completed.merge(trafficClass, 1, Integer::sum);
      } else {
        callsStarted++;
        upstream.after(LINK_NANOS, () -> new Call(this).start());
      }
    }

    void onCallEnded(boolean served) {
      int pressure = gate.load().pressurePercent();
      upstream.after(
          LINK_NANOS,
          () -> {
            daemon.estimator().record(pressure, upstream.nowNanos());
            if (served) {
              startNextCall();
            } else {
              failed++;
            }
          });
    }
  }

  private final class Call implements UpstreamGate.Listener {

    private final Chain chain;
    private UpstreamGate.Ticket ticket;
    private boolean admitted;

    Call(Chain chain) {
      this.chain = chain;
    }

    void start() {
      long now = upstream.nowNanos();
      long deadline = Math.min(chain.deadlineNanos, now + CALL_TIMEOUT_NANOS);
      ticket =
          gate.submit(new GateRequest(OPEN_ACCOUNT, 1, TrafficClass.CRITICAL, deadline), this, now);
      if (admitted) {
        serve();
      }
    }

    @Override
    public void onAdmitted() {
      admitted = true;
      if (ticket != null) {
        serve();
      }
    }

    @Override
    public void onRefused(RefusalReason reason, long retryAfterMillis) {
      chain.onCallEnded(false);
    }

    private void serve() {
      upstream.serve(
          (long) (CALL_NANOS * (0.5 + random.nextDouble())),
          () -> {
            gate.complete(ticket, Completion.SUCCESS, upstream.nowNanos());
            chain.onCallEnded(true);
          });
    }
  }
}
