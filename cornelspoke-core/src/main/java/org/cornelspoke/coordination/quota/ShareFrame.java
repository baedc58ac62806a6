package org.cornelspoke.coordination.quota;

import org.cornelspoke.util.Assert;

/** A frame exchanged between holders of rate shares, relays and the owner. */
public sealed interface ShareFrame permits ShareMessage, ShareFrame.HolderReady {

  /**
   * Sent by a daemon to its relay and forwarded to the owner: the daemon has reported everything it
   * has held since it attached to the relay, and the relay has forwarded those reports.
   *
   * @param holder id of the daemon
   */
  record HolderReady(String holder) implements ShareFrame {

    /** Validates the components. */
    public HolderReady {
      Assert.notNull(holder, "holder");
    }
  }
}
