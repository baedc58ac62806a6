package org.cornelspoke.coordination.quota;

import org.cornelspoke.util.Assert;

/** A frame exchanged between holders of rate shares, relays and the owner. */
public sealed interface ShareFrame
    permits ShareMessage, ShareFrame.HolderReady, ShareFrame.RelayReady {

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

  /**
   * Sent by a relay to the owner behind its reports: the relay has reported everything it holds and
   * has issued.
   *
   * @param relay id of the relay's VM
   * @param unknownMillis time for which daemons may still hold shares of a former process of the
   *     relay, or shares that the relay has forgotten
   */
  record RelayReady(String relay, long unknownMillis) implements ShareFrame {

    /** Validates the components. */
    public RelayReady {
      Assert.notNull(relay, "relay");
      Assert.isTrue(unknownMillis >= 0, "unknownMillis must be 0 or more");
    }
  }
}
