package org.cornelspoke.daemon.traffic;

/** What happens to requests with a key while the daemon cannot prove that its view is current. */
public enum StaleKeys {
  /** They are refused; a withdrawn key stops working within the freshness bound. */
  REFUSE,
  /** They are served with the last known configuration. */
  SERVE
}
