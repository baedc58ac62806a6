package org.cornelspoke.coordination.admission;

import org.cornelspoke.model.TrafficClass;

/**
 * Decides which root requests an upstream starts while the calls below them fail. Not safe for use
 * by several threads.
 */
public interface RootThrottle {

  /** Returns true if a root request of the class may be offered to the gate. */
  boolean admits(TrafficClass trafficClass, long nowNanos);

  /**
   * Counts the end of a root request.
   *
   * @param failed true if the upstream answered with a server error
   */
  void onCompleted(TrafficClass trafficClass, boolean failed, long nowNanos);

  /** Returns a throttle that admits everything. */
  static RootThrottle none() {
    return new RootThrottle() {
      @Override
      public boolean admits(TrafficClass trafficClass, long nowNanos) {
        return true;
      }

      @Override
      public void onCompleted(TrafficClass trafficClass, boolean failed, long nowNanos) {
        // Nothing is learned.
      }
    };
  }
}
