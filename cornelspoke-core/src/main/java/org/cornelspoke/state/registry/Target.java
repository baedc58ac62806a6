package org.cornelspoke.state.registry;

import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.util.Assert;

/**
 * One upstream process and its co-located daemon.
 *
 * @param linkEndpoint endpoint at which the daemon accepts links from other daemons
 * @param slots declared number of requests that the upstream serves concurrently
 */
public record Target(
    TargetId id,
    ServiceName service,
    DaemonId daemon,
    DataCentreId dataCentre,
    Endpoint linkEndpoint,
    int slots,
    TargetState state) {

  /** Checks that all components are present. */
  public Target {
    Assert.notNull(id, "id");
    Assert.notNull(service, "service");
    Assert.notNull(daemon, "daemon");
    Assert.notNull(dataCentre, "dataCentre");
    Assert.notNull(linkEndpoint, "linkEndpoint");
    Assert.isTrue(slots >= 1, "slots must be 1 or more");
    Assert.notNull(state, "state");
  }
}
