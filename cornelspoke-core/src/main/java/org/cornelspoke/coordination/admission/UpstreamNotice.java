package org.cornelspoke.coordination.admission;

import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.cornelspoke.util.Assert;

/**
 * What an upstream process states about itself.
 *
 * @param requestsPerSecond rate of requests that the process accepts from all callers together, or
 *     empty if it states no limit
 * @param leaving true if the process is about to stop and must receive no new requests
 * @param coldRemainingMillis how much longer the process is cold, 0 if it states that it is warm,
 *     or empty if it states nothing
 */
public record UpstreamNotice(
    OptionalDouble requestsPerSecond, boolean leaving, OptionalLong coldRemainingMillis) {

  /** The notice of a process that states nothing. */
  public static final UpstreamNotice NONE = new UpstreamNotice(OptionalDouble.empty(), false);

  /** Checks that the rate is finite and no number is negative. */
  public UpstreamNotice {
    Assert.notNull(requestsPerSecond, "requestsPerSecond");
    Assert.isTrue(
        requestsPerSecond.isEmpty()
            || (requestsPerSecond.getAsDouble() >= 0
                && Double.isFinite(requestsPerSecond.getAsDouble())),
        "requestsPerSecond must be 0 or more");
    Assert.notNull(coldRemainingMillis, "coldRemainingMillis");
    Assert.isTrue(
        coldRemainingMillis.isEmpty() || coldRemainingMillis.getAsLong() >= 0,
        "coldRemainingMillis must be 0 or more");
  }

  /** Creates a notice that doesn't state whether the process is cold. */
  public UpstreamNotice(OptionalDouble requestsPerSecond, boolean leaving) {
    this(requestsPerSecond, leaving, OptionalLong.empty());
  }
}
