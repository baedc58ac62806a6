package org.cornelspoke.state.config;

import org.cornelspoke.model.ServiceName;
import org.cornelspoke.util.Assert;

/**
 * What holds for all upstreams of a service.
 *
 * @param coldStartMillis time for which an upstream of the service is cold after it starts
 * @param coldRequestsPerSecond requests that a cold upstream of the service accepts in a second,
 *     from all daemons together
 */
public record ServicePolicy(ServiceName service, long coldStartMillis, double coldRequestsPerSecond)
    implements ConfigEntity {

  /** Checks the components. */
  public ServicePolicy {
    Assert.notNull(service, "service");
    Assert.isTrue(coldStartMillis >= 0, "coldStartMillis must be 0 or more");
    Assert.isTrue(
        coldRequestsPerSecond > 0 && Double.isFinite(coldRequestsPerSecond),
        "coldRequestsPerSecond must be a positive number");
  }

  @Override
  public EntityId entityId() {
    return new EntityId(EntityKind.SERVICE_POLICY, service.value());
  }
}
