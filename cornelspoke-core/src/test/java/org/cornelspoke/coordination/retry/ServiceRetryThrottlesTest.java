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

  private final ServiceRetryThrottles throttles = throttles(49);

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

  /** Guards against idle daemons of a large fleet that use up their saved attempts together. */
  @Test
  void savedAttemptsOfALargeFleetStayWithinItsAllowance() {
    int daemonCount = 95;
    int allowance = 124;
    int retries = 0;
    int requestCount = 0;
    for (int daemon = 0; daemon < daemonCount; daemon++) {
      ServiceRetryThrottles daemonThrottles = throttles(allowance);
      RetryThrottle throttle = daemonThrottles.of(BUSY);
      daemonThrottles.setDaemonCount(daemonCount);
      throttle.tryRetry(0);
      for (int request = 0; request < 1_000; request++) {
        throttle.onRequest(0);
      }
      // In the window, each daemon has a few requests and tries to repeat all the time.
      for (int tenth = 1; tenth <= 100; tenth++) {
        long now = 10 * WINDOW_NANOS + tenth * WINDOW_NANOS / 100;
        if (tenth % 25 == 0) {
          throttle.onRequest(now);
          requestCount++;
        }
        retries += throttle.tryRetry(now) ? 1 : 0;
      }
    }

    assertThat((double) retries).isAtMost(0.2 * requestCount + allowance);
    assertThat(retries).isAtLeast(daemonCount);
  }

  /** Guards against a small fleet that loses attempts which its allowance permits. */
  @Test
  void smallFleetKeepsItsSavedAttempts() {
    throttles.setDaemonCount(13);
    for (int request = 0; request < 100; request++) {
      throttles.of(BUSY).onRequest(0);
    }
    int retries = 0;
    while (throttles.of(BUSY).tryRetry(0)) {
      retries++;
    }

    assertThat(retries).isEqualTo(2);
  }

  private static ServiceRetryThrottles throttles(int fleetAllowance) {
    return new ServiceRetryThrottles(0.04, 2, 0.05, fleetAllowance, 10);
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
