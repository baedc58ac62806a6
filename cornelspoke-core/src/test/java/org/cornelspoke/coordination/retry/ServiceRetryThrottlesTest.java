package org.cornelspoke.coordination.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.cornelspoke.model.ServiceName;
import org.junit.jupiter.api.Test;

/** Guards against extra attempts of all daemons together that exceed the budget of a service. */
final class ServiceRetryThrottlesTest {

  private static final ServiceName QUIET = new ServiceName("quiet");
  private static final ServiceName BUSY = new ServiceName("busy");
  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final ServiceRetryThrottles throttles = new ServiceRetryThrottles(0.04, 2, 0.05);

  @Test
  void staysWithinRatioAndBucketSizeInOneWindow() {
    int retries = 0;
    for (int request = 0; request < 1_000; request++) {
      long now = request * WINDOW_NANOS / 1_000;
      throttles.of(BUSY).onRequest(now);
      retries += throttles.of(BUSY).tryRetry(now) ? 1 : 0;
    }

    assertThat(retries).isAtMost(43);
    assertThat(retries).isAtLeast(38);
  }

  @Test
  void requestsToOneServiceAllowNoRetriesToAnother() {
    for (int request = 0; request < 1_000; request++) {
      throttles.of(BUSY).onRequest(0);
    }

    assertThat(throttles.of(QUIET).tryRetry(0)).isFalse();
  }

  @Test
  void presetMayLowerTheRatioButNotRaiseIt() {
    throttles.setRatio(0.5);
    for (int request = 0; request < 20; request++) {
      throttles.of(BUSY).onRequest(0);
    }

    assertThat(throttles.of(BUSY).tryRetry(0)).isFalse();
  }
}
