package org.cornelspoke.coordination.admission;

import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;

/**
 * Throttles the root requests of an upstream while the services that their nested calls use are
 * overloaded. Not safe for use by several threads.
 */
public interface RootRequestThrottle {

  /** Queues at downstream gates shrink within this time once fewer root requests are started. */
  long DEFAULT_RETRY_MILLIS = 1_000;

  /**
   * Returns true if a root request of the class and account may be submitted to the gate; each call
   * counts.
   *
   * @param pressurePercent pressure of the downstream gates, as in {@link GateLoad}
   */
  boolean tryAdmit(
      TrafficClass trafficClass, AccountId account, int pressurePercent, long nowNanos);

  /**
   * Records the fraction of the requests of a root class and account for which a called service has
   * capacity, as reported at the end of a call.
   */
  default void onRoom(TrafficClass trafficClass, AccountId account, double room, long nowNanos) {}

  /** Returns the fraction of the root requests of the class and account that is admitted. */
  default double admittedFraction(TrafficClass trafficClass, AccountId account, long nowNanos) {
    return 1;
  }

  /** Returns the time after which a refused root request may be admitted. */
  default long retryAfterMillis(TrafficClass trafficClass, long nowNanos) {
    return DEFAULT_RETRY_MILLIS;
  }

  /** Returns a throttle that admits all requests. */
  static RootRequestThrottle none() {
    return (trafficClass, account, pressurePercent, nowNanos) -> true;
  }
}
