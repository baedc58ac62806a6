package org.cornelspoke.coordination.admission;

import org.cornelspoke.model.TrafficClass;

/**
 * Decides which root requests an upstream starts while the calls below them queue. Not safe for use
 * by several threads.
 */
public interface RootRequestThrottle {

  /**
   * Returns true if a root request of the class may be offered to the gate.
   *
   * @param pressurePercent pressure of the gates below, as in {@link GateLoad}
   */
  boolean tryAdmit(TrafficClass trafficClass, int pressurePercent, long nowNanos);

  /** Returns a throttle that admits everything. */
  static RootRequestThrottle none() {
    return (trafficClass, pressurePercent, nowNanos) -> true;
  }
}
