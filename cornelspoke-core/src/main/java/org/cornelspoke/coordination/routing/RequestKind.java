package org.cornelspoke.coordination.routing;

import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.util.Assert;

/**
 * Requests whose latencies can be compared between targets. One service may answer requests of half
 * a second and calls of some milliseconds; their mixture says little about a target's speed.
 *
 * @param service the service that is asked
 * @param trafficClass class of the request
 * @param nested true for a call that a running request makes
 */
public record RequestKind(ServiceName service, TrafficClass trafficClass, boolean nested) {

  /** Checks the parts. */
  public RequestKind {
    Assert.notNull(service, "service");
    Assert.notNull(trafficClass, "trafficClass");
  }
}
