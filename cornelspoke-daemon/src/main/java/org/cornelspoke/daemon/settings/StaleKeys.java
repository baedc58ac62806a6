package org.cornelspoke.daemon.settings;

/**
 * What a traffic daemon does with a request that carries a key while it can't prove that its
 * configuration is current. The names in lower case are the values of {@code staleKeys}.
 */
public enum StaleKeys {
  /** Refuses the request as not run; a withdrawn key stops working within the bound. */
  REFUSE,
  /** Uses the last known configuration; a withdrawn key may go on working. */
  SERVE
}
