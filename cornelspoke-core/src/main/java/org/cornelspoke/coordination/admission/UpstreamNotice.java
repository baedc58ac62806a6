package org.cornelspoke.coordination.admission;

import java.util.OptionalDouble;
import org.cornelspoke.util.Assert;

/**
 * What an upstream process states about itself in the head of a response.
 *
 * @param requestsPerSecond rate of requests that the process accepts from all callers together, or
 *     empty if it states no limit
 * @param leaving true if the process is about to stop and must receive no new requests
 */
public record UpstreamNotice(OptionalDouble requestsPerSecond, boolean leaving) {

  /** The notice of a process that states nothing. */
  public static final UpstreamNotice NONE = new UpstreamNotice(OptionalDouble.empty(), false);

  /** Checks that the rate is not negative and finite. */
  public UpstreamNotice {
    Assert.notNull(requestsPerSecond, "requestsPerSecond");
    Assert.isTrue(
        requestsPerSecond.isEmpty()
            || (requestsPerSecond.getAsDouble() >= 0
                && Double.isFinite(requestsPerSecond.getAsDouble())),
        "requestsPerSecond must be 0 or more");
  }
}
