package org.cornelspoke.coordination.admission;

import org.cornelspoke.model.TrafficClass;

/**
 * Throttles the root requests of an upstream while their nested calls queue at downstream gates.
 * Not safe for use by several threads.
 */
public interface RootRequestThrottle {

  /**
   * Returns true if a root request of the class may be submitted to the gate; each call counts.
   *
   * @param pressurePercent pressure of the downstream gates, as in {@link GateLoad}
   */
  boolean tryAdmit(TrafficClass trafficClass, int pressurePercent, long nowNanos);

  /** Returns a throttle that admits all requests. */
  static RootRequestThrottle none() {
    return (trafficClass, pressurePercent, nowNanos) -> true;
  }
}
