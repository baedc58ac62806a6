package org.cornelspoke.state.config;

import org.cornelspoke.model.ServiceName;
import org.cornelspoke.util.Assert;

/**
 * One part of a route's traffic.
 *
 * @param weight share of the requests in proportion to the other parts; 0 for none
 */
public record WeightedService(ServiceName service, double weight) {

  /** Checks the parts. */
  public WeightedService {
    Assert.notNull(service, "service");
    Assert.isTrue(weight >= 0 && Double.isFinite(weight), "weight must be 0 or more");
  }
}
