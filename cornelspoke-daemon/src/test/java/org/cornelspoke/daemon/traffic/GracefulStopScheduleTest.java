package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class GracefulStopScheduleTest {

  private static final long START_NANOS = Long.MAX_VALUE - TimeUnit.SECONDS.toNanos(3);

  private final GracefulStop stop = new GracefulStop(START_NANOS, 2_200, 9_600);

  /** Guards against refusing requests whose callers could not yet know of the stop. */
  @Test
  void requestsAreAcceptedUntilCallersKnowOfTheStop() {
    assertThat(stop.accepts(after(14_000), false, after(2_199))).isTrue();
    assertThat(stop.accepts(after(14_000), false, after(2_200))).isFalse();
  }

  /** Guards against refusing requests that end before the daemon does. */
  @Test
  void requestThatEndsInTimeIsAccepted() {
    assertThat(stop.accepts(after(8_100), false, after(7_000))).isTrue();
    assertThat(stop.accepts(after(8_200), false, after(7_000))).isFalse();
  }

  /** Guards against refusing nested calls, which fails the request that makes them. */
  @Test
  void nestedCallOfRunningRequestIsAcceptedUntilTheFinalResponses() {
    assertThat(stop.accepts(after(14_000), true, after(8_000))).isTrue();
    assertThat(stop.accepts(after(14_000), true, after(8_200))).isFalse();
  }

  /** Guards against schedules whose steps are out of order, also at a short grace period. */
  @Test
  void stepsAreInOrderForAnyTimes() {
    SplittableRandom random = new SplittableRandom(7);
    for (int i = 0; i < 1_000; i++) {
      long timeoutMillis = random.nextLong(1, 120_000);
      long drainMillis = random.nextLong(0, timeoutMillis + 1);
      GracefulStop any = new GracefulStop(START_NANOS, drainMillis, timeoutMillis);
      assertThat(any.leaveFleetAtNanos() - any.drainEndNanos()).isAtMost(0);
      assertThat(any.responsesEndNanos() - any.lastDeadlineNanos()).isAtMost(0);
      assertThat(any.lastDeadlineNanos() - any.endNanos()).isAtMost(0);
      assertThat(any.retryAfterMillis(any.endNanos())).isGreaterThan(0);
      // Half of the time at least remains for a request that is accepted whatever its deadline.
      long lastAcceptedNanos = START_NANOS + TimeUnit.MILLISECONDS.toNanos(timeoutMillis) / 2;
      assertThat(any.accepts(after(1_000_000), false, lastAcceptedNanos)).isFalse();
    }
  }

  private static long after(long millis) {
    return START_NANOS + TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
