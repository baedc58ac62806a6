package org.cornelspoke.coordination.retry;

import java.util.HashMap;
import java.util.Map;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.util.Assert;

/**
 * One retry throttle per service. The sum of retries over all daemons stays within a ratio of the
 * service's requests plus a small constant, without coordination between the daemons.
 *
 * <p>Not safe for use by several threads.
 */
public final class ServiceRetryThrottles implements RetryThrottles {

  private final double maxRatio;
  private final double maxTokens;
  private final double minRetriesPerSecond;
  private final Map<ServiceName, RetryThrottle> throttles = new HashMap<>();
  private double ratio;

  /**
   * Creates the throttles.
   *
   * @param maxRatio upper bound of the ratio set by the preset, between 0 and 1
   * @param maxTokens bucket size of unused extra attempts per service
   * @param minRetriesPerSecond extra attempts per second and service regardless of the number of
   *     requests
   */
  public ServiceRetryThrottles(double maxRatio, double maxTokens, double minRetriesPerSecond) {
    Assert.isTrue(maxRatio >= 0 && maxRatio <= 1, "maxRatio must be between 0 and 1");
    this.maxRatio = maxRatio;
    this.maxTokens = maxTokens;
    this.minRetriesPerSecond = minRetriesPerSecond;
    this.ratio = maxRatio;
  }

  @Override
  public RetryThrottle of(ServiceName service) {
    return throttles.computeIfAbsent(
        service, name -> new DefaultRetryThrottle(ratio, maxTokens, minRetriesPerSecond));
  }

  @Override
  public void setRatio(double newRatio) {
    ratio = Math.min(maxRatio, newRatio);
    throttles.values().forEach(throttle -> throttle.setRatio(ratio));
  }
}
