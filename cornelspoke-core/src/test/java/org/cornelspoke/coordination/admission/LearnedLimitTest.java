package org.cornelspoke.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.function.IntToDoubleFunction;
import java.util.function.LongToDoubleFunction;
import org.apache.commons.math3.random.Well19937c;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.ClassPolicy;
import org.cornelspoke.state.config.Preset;
import org.junit.jupiter.api.Test;

/** Plays the load of requirements-new-customers.md at the gate of one upstream. */
class LearnedLimitTest {

  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;
  private static final long WINDOW_NANOS = 100 * MILLI;
  private static final int SLOTS = 120;
  private static final double MIN_FRACTION = 0.25;
  private static final double WORK_SECONDS = 0.1;
  private static final WorkKind KIND = WorkKind.of(TrafficClass.INTERACTIVE, false);

  private final Well19937c random = new Well19937c(7);
  private UpstreamModel events = new UpstreamModel(1);
  private IntToDoubleFunction knee = load -> 1;
  private LongToDoubleFunction slowness = now -> 1;
  private double requestsPerSecond = 2 * SLOTS / WORK_SECONDS;
  private LearnedCapacity capacity;
  private UpstreamGate gate;
  private double spread = 0.4;
  private int inFlight;
  private int completed;
  private long nestedNanos;

  private final class Request implements UpstreamGate.Listener {
    private UpstreamGate.Ticket ticket;
    private long sentAtNanos;

    @Override
    public void onAdmitted() {
      events.after(0, this::send);
    }

    @Override
    public void onRefused(RefusalReason reason, long retryAfterMillis) {
      // A refused request has no effect on the upstream.
    }

    private void send() {
      sentAtNanos = events.nowNanos();
      inFlight++;
      if (capacity != null) {
        capacity.onSent(sentAtNanos);
      }
      double seconds =
          WORK_SECONDS * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
      seconds *= knee.applyAsDouble(inFlight) * slowness.applyAsDouble(sentAtNanos);
      events.after((long) (seconds * SECOND) + nestedNanos, this::end);
    }

    private void end() {
      inFlight--;
      completed++;
      gate.complete(ticket, Completion.SUCCESS, events.nowNanos());
      if (capacity != null) {
        capacity.onEnded(KIND, sentAtNanos, nestedNanos, Completion.SUCCESS, events.nowNanos());
      }
    }
  }

  /**
   * Guards against a limit that costs throughput where the fixed fraction of 95% is right, by its
   * trials or by mistaking overload for a knee.
   */
  @Test
  void overloadWithAKneeAt95PercentIsServedLikeWithTheFixedLimit() {
    knee = load -> load >= 0.95 * SLOTS ? 1.3 : 1;
    int fixed = play(new FixedLimit(SLOTS, 0.95), 30);
    int learned = play(learnedLimit(), 30);
    assertThat((double) learned / fixed).isAtLeast(0.97);
    assertThat(capacity.concurrency()).isAtLeast((int) (0.93 * SLOTS));
  }

  /** Guards against overload that is mistaken for a knee: a lower limit would serve less. */
  @Test
  void overloadWithoutAKneeKeepsTheLimit() {
    int ideal = (int) (30 * 0.95 * SLOTS / WORK_SECONDS);
    int learned = play(learnedLimit(), 30);
    assertThat((double) learned / ideal).isAtLeast(0.97);
  }

  /** Guards against chance that looks like a knee: work times with a deviation like their mean. */
  @Test
  void widelyVaryingWorkTimesDoNotShrinkTheLimit() {
    spread = 0.83;
    int fixed = play(new FixedLimit(SLOTS, 0.95), 60);
    int learned = play(learnedLimit(), 60);
    assertThat((double) learned / fixed).isAtLeast(0.97);
  }

  /** Guards against a knee far below the slots that stays unknown: work only waits there. */
  @Test
  void kneeOfAQueueAt60PercentIsFound() {
    knee = load -> Math.max(1, load / (0.6 * SLOTS));
    play(learnedLimit(), 20);
    assertThat(capacity.concurrency())
        .isIn(com.google.common.collect.Range.closed((int) (0.5 * SLOTS), (int) (0.72 * SLOTS)));
  }

  /** Guards against a knee that is hidden behind a level at which less is served. */
  @Test
  void upstreamThatIsTwiceAsSlowFrom60PercentServesMoreThanWithTheFixedLimit() {
    knee = load -> load >= 0.6 * SLOTS ? 2 : 1;
    int fixed = play(new FixedLimit(SLOTS, 0.95), 30);
    int learned = play(learnedLimit(), 30);
    assertThat(learned).isGreaterThan((int) (1.1 * fixed));
  }

  /** Guards against slow periods that shrink the limit while it is in use. */
  @Test
  void slowPeriodsDoNotShrinkTheLimit() {
    slowness = LearnedLimitTest::slowPeriods;
    requestsPerSecond = 1.1 * SLOTS / WORK_SECONDS;
    int fixed = play(new FixedLimit(SLOTS, 0.95), 60);
    int learned = play(learnedLimit(), 60);
    assertThat((double) learned / fixed).isAtLeast(0.97);
    assertThat(capacity.concurrency()).isAtLeast((int) (0.93 * SLOTS));
  }

  /** Guards against a mean work time that follows a slow period, which is over when it is known. */
  @Test
  void slowPeriodsDoNotChangeTheWorkTime() {
    slowness = LearnedLimitTest::slowPeriods;
    requestsPerSecond = 0.6 * SLOTS / WORK_SECONDS;
    play(learnedLimit(), 11);
    for (int i = 0; i < 40; i++) {
      run(100 * MILLI);
      assertThat(capacity.workNanos(KIND) / (WORK_SECONDS * SECOND)).isWithin(0.15).of(1);
    }
  }

  /** Guards against an estimate that doesn't return when the knee has gone. */
  @Test
  void limitReturnsWhenTheKneeIsGone() {
    knee = load -> Math.max(1, load / (0.6 * SLOTS));
    play(learnedLimit(), 20);
    assertThat(capacity.concurrency()).isAtMost((int) (0.72 * SLOTS));
    knee = load -> 1;
    run(30 * SECOND);
    assertThat(capacity.concurrency()).isAtLeast((int) (0.8 * SLOTS));
  }

  /** Guards against an idle gate that gives an estimate: nothing binds, so nothing is known. */
  @Test
  void idleGateLearnsNothingAboutTheKnee() {
    knee = load -> load >= 0.2 * SLOTS ? 3 : 1;
    requestsPerSecond = 0.15 * SLOTS / WORK_SECONDS;
    LearnedLimit limit = learnedLimit();
    int before = limit.limit();
    play(limit, 20);
    assertThat(capacity.concurrency()).isEqualTo(before);
  }

  /** Guards against time in nested calls that counts as work, and against its effect on a knee. */
  @Test
  void timeInNestedCallsIsNotWork() {
    nestedNanos = SECOND / 2;
    requestsPerSecond = 0.1 * SLOTS / WORK_SECONDS;
    play(learnedLimit(), 5);
    assertThat(capacity.workNanos(KIND) / (WORK_SECONDS * SECOND)).isWithin(0.15).of(1);
  }

  /** Guards against work times that include a pause of the daemon's own event loop. */
  @Test
  void pausesOfTheEventLoopDoNotCount() {
    capacity = new LearnedCapacity(learnedLimit(), WINDOW_NANOS);
    long now = SECOND;
    for (int i = 0; i < 400; i++) {
      capacity.onTick(now);
      capacity.onSent(now);
      long pauseNanos = i % 10 == 9 ? 300 * MILLI : 0;
      now += 10 * MILLI + pauseNanos;
      capacity.onEnded(KIND, now - 10 * MILLI - pauseNanos, 0, Completion.SUCCESS, now);
    }
    assertThat(capacity.workNanos(KIND)).isEqualTo(10 * MILLI);
  }

  /** Guards against reports of a peer that set the limit outside its bounds or replace samples. */
  @Test
  void adoptedValuesAreBoundedAndCorrected() {
    LearnedLimit limit = learnedLimit();
    capacity = new LearnedCapacity(limit, WINDOW_NANOS);
    capacity.adopt(KIND, 1, 50 * MILLI);
    assertThat(limit.limit()).isEqualTo((int) (MIN_FRACTION * SLOTS));
    assertThat(capacity.workNanos(KIND)).isEqualTo(50 * MILLI);
    capacity.adopt(KIND, 100_000, 70 * MILLI);
    assertThat(limit.limit()).isEqualTo((int) (MIN_FRACTION * SLOTS));
    LearnedLimit huge = learnedLimit();
    huge.adopt(100_000);
    assertThat(huge.limit()).isAtMost(SLOTS);
    play(limit, 30);
    assertThat(capacity.concurrency()).isAtLeast((int) (0.8 * SLOTS));
  }

  /** A period of 600 ms in every 4 s, 15% of the time, in which all work takes 2.5 times longer. */
  private static double slowPeriods(long nowNanos) {
    long phaseNanos = nowNanos % (4 * SECOND);
    return phaseNanos >= 2 * SECOND && phaseNanos < 2_600 * MILLI ? 2.5 : 1;
  }

  private static LearnedLimit learnedLimit() {
    return new LearnedLimit(SLOTS, MIN_FRACTION, WINDOW_NANOS);
  }

  /** Plays the load with the limit and returns the number of completed requests. */
  private int play(ConcurrencyLimit limit, int seconds) {
    gate = new DefaultUpstreamGate(preset(), limit);
    capacity =
        limit instanceof LearnedLimit learned ? new LearnedCapacity(learned, WINDOW_NANOS) : null;
    events = new UpstreamModel(1);
    inFlight = 0;
    completed = 0;
    run(seconds * SECOND);
    return completed;
  }

  private void run(long durationNanos) {
    long endNanos = events.nowNanos() + durationNanos;
    scheduleArrival(endNanos);
    scheduleTick(endNanos);
    events.runUntil(endNanos);
  }

  private void scheduleArrival(long endNanos) {
    double gapSeconds = -Math.log(1 - random.nextDouble()) / requestsPerSecond;
    events.after(
        (long) (gapSeconds * SECOND),
        () -> {
          if (events.nowNanos() < endNanos) {
            Request request = new Request();
            request.ticket =
                gate.submit(
                    new GateRequest(
                        new AccountId("a"),
                        1,
                        TrafficClass.INTERACTIVE,
                        events.nowNanos() + SECOND),
                    request,
                    events.nowNanos());
            scheduleArrival(endNanos);
          }
        });
  }

  private void scheduleTick(long endNanos) {
    events.after(
        20 * MILLI,
        () -> {
          gate.onTick(events.nowNanos());
          if (capacity != null) {
            capacity.onTick(events.nowNanos());
          }
          if (events.nowNanos() < endNanos) {
            scheduleTick(endNanos);
          }
        });
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
