package org.cornelspoke.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import org.cornelspoke.model.RefusalReason;
import org.junit.jupiter.api.Test;

/** Guards against a retry delay so long that the retry can't meet the response-time objective. */
class RetryAfterPolicyTest {

  private static final long OBJECTIVE_MILLIS = 1_000;
  private static final long SUGGESTED_MILLIS = 1_000;
  private static final long RESPONSE_MILLIS = 500;

  @Test
  void retryAfterOverloadCanMeetTheObjective() {
    long retryAfter =
        RetryAfterPolicy.retryAfterMillis(
            RefusalReason.DOWNSTREAM, SUGGESTED_MILLIS, OBJECTIVE_MILLIS);

    assertThat(retryAfter + RESPONSE_MILLIS).isAtMost(OBJECTIVE_MILLIS);
  }

  @Test
  void shorterSuggestedDelayIsKept() {
    assertThat(RetryAfterPolicy.retryAfterMillis(RefusalReason.OVERLOAD, 50, OBJECTIVE_MILLIS))
        .isEqualTo(50);
  }

  @Test
  void delayOfRateLimitIsKept() {
    assertThat(RetryAfterPolicy.retryAfterMillis(RefusalReason.RATE, 3_000, OBJECTIVE_MILLIS))
        .isEqualTo(3_000);
  }
}
