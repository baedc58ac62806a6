package org.cornelspoke.coordination.retry;

import java.util.HashMap;
import java.util.Map;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.util.Assert;

/**
 * One retry throttle per service. The sum of retries over all daemons stays within a ratio of the
 * service's requests plus an allowance. The daemons divide the allowance by their number, without
 * further coordination. In fleets with more daemons than the allowance has attempts, each daemon
 * still saves one attempt, and the sum may exceed it.
 *
 * <p>Not safe for use by several threads.
 */
public final class ServiceRetryThrottles implements RetryThrottles {

  private final double maxRatio;
  private final double maxTokens;
  private final double minRetriesPerSecond;

  /** Size of the bucket that {@link DefaultRetryThrottle} refills by time. */
  private static final double TIMED_TOKENS = 1;

  private final double fleetAllowance;
  private final double windowSeconds;
  private final Map<ServiceName, DefaultRetryThrottle> throttles = new HashMap<>();
  private double ratio;
  private double usableTokens;
  private double usableRetriesPerSecond;

  /**
   * Creates the throttles.
   *
   * @param maxRatio upper bound of the ratio set by the preset, between 0 and 1
   * @param maxTokens bucket size of unused extra attempts per service
   * @param minRetriesPerSecond extra attempts per second and service regardless of the number of
   *     requests
   * @param fleetAllowance extra attempts per service beyond the ratio that all daemons together may
   *     make within the window
   * @param windowSeconds length of the window in seconds
   */
  public ServiceRetryThrottles(
      double maxRatio,
      double maxTokens,
      double minRetriesPerSecond,
      double fleetAllowance,
      double windowSeconds) {
    Assert.isTrue(maxRatio >= 0 && maxRatio <= 1, "maxRatio must be between 0 and 1");
    this.maxRatio = maxRatio;
    this.maxTokens = maxTokens;
    this.minRetriesPerSecond = minRetriesPerSecond;
    this.fleetAllowance = fleetAllowance;
    this.windowSeconds = windowSeconds;
    this.ratio = maxRatio;
    setDaemonCount(1);
  }

  @Override
  public RetryThrottle of(ServiceName service) {
    return throttles.computeIfAbsent(
        service, name -> new DefaultRetryThrottle(ratio, usableTokens, usableRetriesPerSecond));
  }

  @Override
  public void setRatio(double newRatio) {
    ratio = Math.min(maxRatio, newRatio);
    throttles.values().forEach(throttle -> throttle.setRatio(ratio));
  }

  @Override
  public void setDaemonCount(int count) {
    double allowance = fleetAllowance / Math.max(1, count);
    double timedAttempts = TIMED_TOKENS + minRetriesPerSecond * windowSeconds;
    if (maxTokens + timedAttempts <= allowance) {
      usableTokens = maxTokens;
      usableRetriesPerSecond = minRetriesPerSecond;
    } else {
      // Attempts that requests have earned come first: they go where the requests are.
      usableTokens = Math.max(1, Math.min(maxTokens, allowance));
      usableRetriesPerSecond = 0;
    }
    throttles.values().forEach(t -> t.setBounds(usableTokens, usableRetriesPerSecond));
  }
}
