package org.cornelspoke.coordination.quota;

import java.util.function.Supplier;
import org.cornelspoke.model.TrafficClass;

/**
 * Decides for one account at one daemon when refused callers return, and which tokens are reserved
 * for them.
 *
 * <p>Addresses an account that sends several times its rate: without return times, refused callers
 * come back, compete with new requests and are mostly refused again.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds of this process.
 */
interface ReturnSchedule {

  /** Decides whether a request is a return, and uses its return time in that case. */
  Arrival onArrival(TrafficClass trafficClass, CallerLimits limits, long nowNanos);

  /** Returns the number of tokens that a request of the class must leave for returns. */
  int reservedTokens(TrafficClass trafficClass, boolean returning, long nowNanos);

  /** Returns the number of returns of this class and higher ones that are due before a time. */
  int returnsBefore(TrafficClass trafficClass, long endNanos, long nowNanos);

  /** Returns the number of returns by class for which tokens are reserved now. */
  ClassAmounts reservedByClass(long nowNanos);

  /** Records that a request has taken a token. */
  void onTokenTaken(long nowNanos);

  /**
   * Refuses a request, with a return time if a retry can succeed.
   *
   * @param retryAfterMillis delay for a caller whose limits are unknown
   */
  void refuse(
      TokenWaiter waiter, Supplier<TokenSupply> supply, long retryAfterMillis, long nowNanos);

  /** Returns a schedule that hands out no return times and reserves nothing. */
  static ReturnSchedule none() {
    return NoReturns.INSTANCE;
  }

  /** Creates the schedule of one account. */
  @FunctionalInterface
  interface Factory {

    /** Returns a schedule without return times. */
    ReturnSchedule create();
  }
}
