package org.cornelspoke.daemon.traffic;

import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.util.Assert;

/**
 * What an upstream says of itself.
 *
 * @param instance name of the upstream process, or null if it has none; another name at the same
 *     address is another process
 * @param leaseMillis time after which the upstream counts as gone without a further announcement
 */
public record Announcement(
    ServiceName service, Endpoint address, int slots, long leaseMillis, String instance) {

  /** Checks the parts. */
  public Announcement {
    Assert.notNull(service, "service");
    Assert.notNull(address, "address");
    Assert.isTrue(slots >= 1, "slots must be 1 or more");
    Assert.isTrue(leaseMillis > 0, "leaseMillis must be positive");
  }
}
