package org.cornelspoke.daemon.traffic;

/**
 * How requests with a client key are handled while the daemon cannot verify that its view is
 * current.
 */
public enum StaleKeys {
  /** Refuses them, so that a withdrawn key stops working within the freshness bound. */
  REFUSE,
  /** Serves them with the last known configuration. */
  SERVE
}
