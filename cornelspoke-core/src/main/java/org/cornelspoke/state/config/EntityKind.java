package org.cornelspoke.state.config;

/** The kinds of configuration entity. The code is used in encoded form and must never change. */
public enum EntityKind {
  ACCOUNT(1),
  CLIENT_KEY(2),
  ROUTE(3),
  PRESET(4),
  ACTIVE_PRESET(5),
  CONTEXT_SECRET(6),
  OPERATOR(7),
  ROUTING_DOCUMENT(8);

  private final int code;

  EntityKind(int code) {
    this.code = code;
  }

  /** Returns the number of this kind in encoded form. */
  public int code() {
    return code;
  }

  /** Returns true if traffic daemons need entities of this kind. */
  public boolean isSentToTrafficDaemons() {
    return this != OPERATOR && this != ROUTING_DOCUMENT;
  }
}
