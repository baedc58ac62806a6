package org.cornelspoke.daemon.traffic;

import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.util.Assert;

/**
 * The registration that an upstream sends to the daemon on its host.
 *
 * @param instance name of the upstream process, or null if none was given; a different name at the
 *     same address identifies a different process
 * @param slots requests that the upstream can serve concurrently
 * @param leaseMillis time after which the upstream is withdrawn unless it announces itself again
 */
public record Announcement(
    ServiceName service, Endpoint address, int slots, long leaseMillis, String instance) {

  /** Validates the components. */
  public Announcement {
    Assert.notNull(service, "service");
    Assert.notNull(address, "address");
    Assert.isTrue(slots >= 1, "slots must be 1 or more");
    Assert.isTrue(leaseMillis > 0, "leaseMillis must be positive");
  }
}
