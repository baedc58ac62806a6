package org.cornelspoke.coordination.retry;

import java.util.HashMap;
import java.util.Map;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.util.Assert;

/**
 * One throttle for each service, so that the sum over all daemons stays within a ratio of the
 * service's requests plus a small constant, without any message between daemons.
 *
 * <p>Not safe for use by several threads.
 */
public final class ServiceRetryThrottles implements RetryThrottles {

  private final double maxRatio;
  private final double maxSaved;
  private final double minimumPerSecond;
  private final Map<ServiceName, RetryThrottle> throttles = new HashMap<>();
  private double ratio;

  /**
   * Creates the throttles.
   *
   * @param maxRatio extra attempts per request at most, whatever the preset allows; between 0 and 1
   * @param maxSaved unused extra attempts that are kept for one service
   * @param minimumPerSecond extra attempts to one service that need no requests
   */
  public ServiceRetryThrottles(double maxRatio, double maxSaved, double minimumPerSecond) {
    Assert.isTrue(maxRatio >= 0 && maxRatio <= 1, "maxRatio must be between 0 and 1");
    this.maxRatio = maxRatio;
    this.maxSaved = maxSaved;
    this.minimumPerSecond = minimumPerSecond;
    this.ratio = maxRatio;
  }

  @Override
  public RetryThrottle of(ServiceName service) {
    return throttles.computeIfAbsent(
        service, name -> new DefaultRetryThrottle(ratio, maxSaved, minimumPerSecond));
  }

  @Override
  public void setRatio(double newRatio) {
    ratio = Math.min(maxRatio, newRatio);
    throttles.values().forEach(throttle -> throttle.setRatio(ratio));
  }
}
