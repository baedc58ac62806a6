package org.cornelspoke.coordination.routing;

import org.cornelspoke.coordination.admission.WorkKind;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.util.Assert;

/**
 * Group of requests whose latencies are comparable between targets. One service may serve root
 * requests of half a second and nested calls of a few milliseconds; their combined mean says little
 * about the speed of a target.
 *
 * @param service the called service
 * @param trafficClass traffic class of the request
 * @param nested true for a nested call, false for a root request
 */
public record RequestKind(ServiceName service, TrafficClass trafficClass, boolean nested) {

  /** Validates the components. */
  public RequestKind {
    Assert.notNull(service, "service");
    Assert.notNull(trafficClass, "trafficClass");
  }

  /** Returns the kind of the request at its target. */
  public WorkKind workKind() {
    return WorkKind.of(trafficClass, nested);
  }
}
