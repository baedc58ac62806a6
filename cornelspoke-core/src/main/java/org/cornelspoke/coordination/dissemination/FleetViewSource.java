package org.cornelspoke.coordination.dissemination;

import org.cornelspoke.state.view.FleetView;

/** Gives traffic threads the latest view. Safe for use by any thread. */
public interface FleetViewSource {

  /** Returns the latest view; revisions never go back from call to call. */
  FleetView current();

  /**
   * Returns true if the view is proved to have been current within the freshness bound.
   *
   * @param nowNanos the caller's monotonic time
   */
  boolean isFresh(long nowNanos);
}
