package org.cornelspoke.coordination.admission;

import org.cornelspoke.util.Assert;

/**
 * A rate of requests that an upstream accepts from all callers together.
 *
 * @param requestsPerSecond 0 or more; requests are spaced by it
 * @param maxPerSecond most requests within any second, including those that were sent before the
 *     rate was stated; {@link Integer#MAX_VALUE} if only the spacing counts
 */
public record StatedRate(double requestsPerSecond, int maxPerSecond) {

  /**
   * Requests of a cold upstream within any second, as a factor of its rate and a number. A cold
   * upstream tolerates 1.5 times its rate and 8; half of that excess is left for requests that
   * arrive closer together than they were sent.
   */
  private static final double COLD_FACTOR = 1.25;

  private static final int COLD_REQUESTS = 4;

  /** Checks the components. */
  public StatedRate {
    Assert.isTrue(
        requestsPerSecond >= 0 && Double.isFinite(requestsPerSecond),
        "requestsPerSecond must be 0 or more");
    Assert.isTrue(maxPerSecond >= 1, "maxPerSecond must be 1 or more");
  }

  /** Returns a rate that applies from now on. */
  public static StatedRate spaced(double requestsPerSecond) {
    return new StatedRate(requestsPerSecond, Integer.MAX_VALUE);
  }

  /** Returns the rate of a cold upstream, which also counts the requests of the past second. */
  public static StatedRate cold(double requestsPerSecond) {
    double max = Math.floor(COLD_FACTOR * requestsPerSecond) + COLD_REQUESTS;
    return new StatedRate(requestsPerSecond, (int) Math.min(max, Integer.MAX_VALUE));
  }

  /** Returns the rate that keeps both this one and another. */
  StatedRate and(StatedRate other) {
    return new StatedRate(
        Math.min(requestsPerSecond, other.requestsPerSecond),
        Math.min(maxPerSecond, other.maxPerSecond));
  }
}
