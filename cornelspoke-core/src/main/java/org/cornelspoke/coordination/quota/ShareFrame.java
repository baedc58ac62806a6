package org.cornelspoke.coordination.quota;

import org.cornelspoke.util.Assert;

/** What holders of rate shares, relays and the owner send each other. */
public sealed interface ShareFrame permits ShareMessage, ShareFrame.HolderReady {

  /**
   * From a daemon to its relay and on to the owner: the daemon has reported everything that it
   * holds since it attached to the relay, and the relay has passed it on.
   *
   * @param holder id of the daemon
   */
  record HolderReady(String holder) implements ShareFrame {

    /** Checks the parts. */
    public HolderReady {
      Assert.notNull(holder, "holder");
    }
  }
}
