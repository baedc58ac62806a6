package org.cornelspoke.bench.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.util.Assert;

/**
 * Where a stand-in upstream listens and how it starts. Addresses have the form {@code ip:port}.
 *
 * @param name name of the target, used in the log
 * @param announceAddress local address of the daemon, or null to announce nothing
 * @param edgeAddress edge address of the daemon for nested calls, or null if there are none
 * @param logFile file to which requests are appended, or null for no log
 * @param behaviour fields of {@link UpstreamBehaviour} that differ from the default, or null
 */
public record UpstreamConfig(
    String name,
    String service,
    String address,
    String controlAddress,
    String announceAddress,
    String edgeAddress,
    String logFile,
    long seed,
    long leaseMillis,
    JsonNode behaviour) {

  private static final long MIN_LEASE_MILLIS = 100;

  /** Checks that every part that is needed is present. */
  public UpstreamConfig {
    Assert.hasText(name, "name");
    Assert.hasText(service, "service");
    Endpoint.parse(address);
    Endpoint.parse(controlAddress);
    Assert.isTrue(
        announceAddress == null || leaseMillis >= MIN_LEASE_MILLIS,
        "leaseMillis must be 100 or more");
  }

  /** Returns the behaviour at the start. */
  UpstreamBehaviour startBehaviour() {
    return behaviour == null || behaviour.isNull()
        ? UpstreamBehaviour.DEFAULT
        : UpstreamBehaviour.DEFAULT.with(behaviour);
  }
}
