package org.cornelspoke.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import org.cornelspoke.model.RefusalReason;
import org.junit.jupiter.api.Test;

/** Guards against callers that come back so late that their second try can't be in time. */
class RetryAfterPolicyTest {

  private static final long OBJECTIVE_MILLIS = 1_000;
  private static final long SUGGESTED_MILLIS = 1_000;
  private static final long ANSWER_MILLIS = 500;

  @Test
  void callerRefusedForOverloadCanStillBeServedInTime() {
    long retryAfter =
        RetryAfterPolicy.retryAfterMillis(
            RefusalReason.DOWNSTREAM, SUGGESTED_MILLIS, OBJECTIVE_MILLIS);

    assertThat(retryAfter + ANSWER_MILLIS).isAtMost(OBJECTIVE_MILLIS);
  }

  @Test
  void shorterAdviceOfTheGateStays() {
    assertThat(RetryAfterPolicy.retryAfterMillis(RefusalReason.OVERLOAD, 50, OBJECTIVE_MILLIS))
        .isEqualTo(50);
  }

  @Test
  void accountAboveItsRateWaitsForItsTokens() {
    assertThat(RetryAfterPolicy.retryAfterMillis(RefusalReason.RATE, 3_000, OBJECTIVE_MILLIS))
        .isEqualTo(3_000);
  }
}
