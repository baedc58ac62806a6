package org.cornelspoke.coordination.quota;

import org.cornelspoke.model.TrafficClass;

/**
 * A request that needs a token.
 *
 * @param deadlineNanos time until which it waits for the token
 * @param arrival how it relates to the return times that were handed out
 */
record TokenWaiter(
    TrafficClass trafficClass,
    long deadlineNanos,
    CallerLimits limits,
    Arrival arrival,
    RateLimiter.Listener listener) {

  /** Returns true if the request has come at a return time that was handed out. */
  boolean returning() {
    return arrival == Arrival.RETURNING;
  }
}
