package org.cornelspoke.state.registry;

import org.cornelspoke.model.DaemonId;
import org.cornelspoke.util.Assert;

/**
 * An upstream process that has said that it leaves, and so must receive no further requests,
 * whatever a delayed report of it says.
 *
 * @param daemon the daemon beside the process
 * @param process names the process; the next one beside the same daemon has another name
 * @param timestampMillis Unix time by the clock of the relay that recorded the departure
 */
public record Departure(DaemonId daemon, String process, long timestampMillis) {

  /** Checks the names. */
  public Departure {
    Assert.notNull(daemon, "daemon");
    Assert.hasText(process, "process");
  }
}
