package org.cornelspoke.state.config;

import org.cornelspoke.model.ServiceName;
import org.cornelspoke.util.Assert;

/**
 * A service of a route with its traffic weight.
 *
 * @param weight relative weight among the services of the route; 0 for no requests
 */
public record WeightedService(ServiceName service, double weight) {

  /** Checks the components. */
  public WeightedService {
    Assert.notNull(service, "service");
    Assert.isTrue(weight >= 0 && Double.isFinite(weight), "weight must be 0 or more");
  }
}
