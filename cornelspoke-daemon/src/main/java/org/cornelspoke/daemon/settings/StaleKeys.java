package org.cornelspoke.daemon.settings;

/**
 * How a traffic daemon treats a request with a client key while it cannot prove that its
 * configuration is current. The lower-case names are the values of {@code staleKeys}.
 */
public enum StaleKeys {
  /** Refuses the request as not run; a withdrawn key stops working within the freshness bound. */
  REFUSE,
  /** Uses the last known configuration; a withdrawn key may keep working. */
  SERVE
}
