package org.cornelspoke.coordination.dissemination;

import org.cornelspoke.state.view.FleetView;

/** Provides the latest fleet view to traffic threads. Thread-safe. */
public interface FleetViewSource {

  /** Returns the latest view. The revision never decreases between calls. */
  FleetView current();

  /**
   * Returns whether the view is proven to have been current within the freshness bound.
   *
   * @param nowNanos the current monotonic time
   */
  boolean isFresh(long nowNanos);
}
