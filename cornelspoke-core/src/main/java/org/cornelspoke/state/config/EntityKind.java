package org.cornelspoke.state.config;

/** Kind of a configuration entity. The code is part of the encoding and must never change. */
public enum EntityKind {
  ACCOUNT(1),
  CLIENT_KEY(2),
  ROUTE(3),
  PRESET(4),
  ACTIVE_PRESET(5),
  CONTEXT_SECRET(6),
  OPERATOR(7),
  ROUTING_DOCUMENT(8),
  DATA_CENTRE_EVACUATION(9),
  SERVICE_POLICY(10);

  private final int code;

  EntityKind(int code) {
    this.code = code;
  }

  /** Returns the code of this kind in the encoding. */
  public int code() {
    return code;
  }

  /** Returns true if entities of this kind are sent to traffic daemons. */
  public boolean isSentToTrafficDaemons() {
    return this != OPERATOR && this != ROUTING_DOCUMENT;
  }
}
