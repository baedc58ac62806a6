package org.cornelspoke.coordination.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.model.TrafficClass;
import org.junit.jupiter.api.Test;

/** Guards against return times that promise a token to the wrong caller or at the wrong time. */
final class TokenReturnScheduleTest {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long KEEP_NANOS = 100 * MILLI;

  /** System.nanoTime() may be negative. */
  private static final long NOW = -5_000 * MILLI;

  private final ReturnCounts counts = new ReturnCounts();
  private final TokenReturnSchedule schedule = new TokenReturnSchedule(KEEP_NANOS, counts);
  private final List<Long> toldMillis = new ArrayList<>();
  private final List<Long> impossibleMillis = new ArrayList<>();

  /** Guards against callers that are all told the same time. */
  @Test
  void returnTimesAreSpacedAsTokensArrive() {
    for (int i = 0; i < 5; i++) {
      refuse(caller(NOW + i, 1_201, 5_002), 100, NOW);
    }

    // Half of the 100 tokens per second is promised.
    assertThat(toldMillis).containsExactly(100L, 120L, 140L, 160L, 180L).inOrder();
  }

  /** Guards against answers that come too late for their callers, and endless state. */
  @Test
  void callersBeyondTheObjectiveAreToldThatARetryCannotSucceed() {
    for (int i = 0; i < 2_000; i++) {
      refuse(caller(NOW, 1_201, 5_002), 1_000, NOW);
    }

    assertThat(counts.handedOut()).isLessThan(500L);
    assertThat(toldMillis.stream().allMatch(millis -> millis <= 480)).isTrue();
    assertThat(counts.impossible()).isEqualTo(2_000 - counts.handedOut());
    // More than the third of the remaining time that callers follow.
    assertThat(impossibleMillis.stream().allMatch(millis -> millis >= 5_002)).isTrue();
  }

  /** Guards against late returns that take the tokens of new requests. */
  @Test
  void shortObjectiveWithALongDeadlineIsNotTold() {
    refuse(caller(NOW, 100, 5_000), 100, NOW);

    assertThat(toldMillis).isEmpty();
    assertThat(impossibleMillis).hasSize(1);
  }

  /** Guards against callers that come early or use the time of another caller. */
  @Test
  void onlyTheCallerThatWasToldMatchesAndOnlyInTime() {
    refuse(caller(NOW, 1_201, 5_002), 100, NOW);

    assertThat(arrive(50, 4_952)).isEqualTo(Arrival.EARLY);
    assertThat(arrive(110, 5_002)).isEqualTo(Arrival.NEW);
    assertThat(reserved(110)).isEqualTo(1);
    assertThat(arrive(116, 4_886)).isEqualTo(Arrival.RETURNING);
    assertThat(arrive(130, 5_002)).isEqualTo(Arrival.NEW);
    assertThat(reserved(130)).isEqualTo(0);
    assertThat(counts.kept()).isEqualTo(1);
  }

  /** Guards against tokens that stay reserved for callers that don't come. */
  @Test
  void unusedReturnTimesLapse() {
    refuse(caller(NOW, 1_201, 5_002), 100, NOW);

    assertThat(reserved(199)).isEqualTo(1);
    assertThat(reserved(200)).isEqualTo(0);
    assertThat(counts.lapsed()).isEqualTo(1);
  }

  /** Guards against a lower class whose return times hold back a higher one. */
  @Test
  void tokensAreReservedAgainstTheSameAndLowerClassesOnly() {
    refuse(caller(NOW, 1_201, 5_002), 100, NOW);

    long now = NOW + 150 * MILLI;
    assertThat(schedule.reservedTokens(TrafficClass.CRITICAL, false, now)).isEqualTo(0);
    assertThat(schedule.reservedTokens(TrafficClass.INTERACTIVE, false, now)).isEqualTo(1);
    assertThat(schedule.reservedTokens(TrafficClass.INTERACTIVE, true, now)).isEqualTo(0);
    assertThat(schedule.reservedTokens(TrafficClass.BULK, false, now)).isEqualTo(1);
  }

  private int reserved(long afterMillis) {
    return schedule.reservedTokens(TrafficClass.INTERACTIVE, false, NOW + afterMillis * MILLI);
  }

  private Arrival arrive(long afterMillis, long remainingMillis) {
    long now = NOW + afterMillis * MILLI;
    return schedule.onArrival(TrafficClass.INTERACTIVE, caller(now, 1_201, remainingMillis), now);
  }

  private static CallerLimits caller(long nowNanos, long objectiveMillis, long remainingMillis) {
    return new CallerLimits(
        nowNanos, objectiveMillis * MILLI, nowNanos + remainingMillis * MILLI, 0.3, MILLI);
  }

  private void refuse(CallerLimits limits, double tokensPerSecond, long nowNanos) {
    TokenWaiter waiter =
        new TokenWaiter(
            TrafficClass.INTERACTIVE,
            nowNanos,
            limits,
            Arrival.NEW,
            new RateLimiter.Listener() {
              @Override
              public void onGranted() {
                throw new AssertionError("no token was taken");
              }

              @Override
              public void onRefused(long retryAfterMillis) {
                toldMillis.add(retryAfterMillis);
              }

              @Override
              public void onReturnImpossible(long retryAfterMillis) {
                impossibleMillis.add(retryAfterMillis);
              }
            });
    TokenSupply supply =
        new TokenSupply(
            tokensPerSecond,
            ClassAmounts.NONE.plus(TrafficClass.INTERACTIVE, 7 * tokensPerSecond),
            ClassAmounts.NONE,
            0);
    schedule.refuse(waiter, () -> supply, 300, nowNanos);
  }
}
