package org.cornelspoke.coordination.quota;

import org.cornelspoke.model.TrafficClass;

/**
 * A request that needs a token.
 *
 * @param deadlineNanos time until which it waits for the token
 * @param returning true if it has come at a return time that was handed out
 */
record TokenWaiter(
    TrafficClass trafficClass,
    long deadlineNanos,
    CallerLimits limits,
    boolean returning,
    RateLimiter.Listener listener) {}
