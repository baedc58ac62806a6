package org.cornelspoke.daemon.settings;

/**
 * Order in which a traffic daemon prefers the relays of control daemons. The lower-case names are
 * the values of {@code controlEndpointOrder}.
 */
public enum ControlEndpointOrder {
  /** The order of {@code controlEndpoints}; control daemons that join later come last. */
  LISTED,
  /** Another order at each daemon, so that all relays get equal parts of the daemons. */
  SPREAD
}
