package org.cornelspoke.daemon.traffic;

import java.util.Optional;
import java.util.OptionalLong;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.util.Assert;

/**
 * The registration that an upstream sends to the daemon on its host.
 *
 * @param slots requests that the upstream can serve concurrently
 * @param leaseMillis time after which the upstream is withdrawn unless it announces itself again
 * @param process the upstream process, or empty if it was not named; another one at the same
 *     address replaces it
 * @param coldRemainingMillis how much longer the upstream is cold, 0 if it is warm, or empty if it
 *     is unknown
 */
public record Announcement(
    ServiceName service,
    Endpoint address,
    int slots,
    long leaseMillis,
    Optional<ProcessId> process,
    OptionalLong coldRemainingMillis) {

  /** Validates the components. */
  public Announcement {
    Assert.notNull(service, "service");
    Assert.notNull(address, "address");
    Assert.isTrue(slots >= 1, "slots must be 1 or more");
    Assert.isTrue(leaseMillis > 0, "leaseMillis must be positive");
    Assert.notNull(process, "process");
    Assert.isTrue(
        coldRemainingMillis.isEmpty() || coldRemainingMillis.getAsLong() >= 0,
        "coldRemainingMillis must be 0 or more");
  }
}
