package org.cornelspoke.bench.http;

import java.io.IOException;

/** An exchange that ended without a whole message. */
public final class WireException extends IOException {

  private static final long serialVersionUID = 1L;

  /** How the exchange ended. */
  public enum Kind {
    /** No connection could be opened; no byte was sent. */
    CONNECT,
    /** The peer closed the connection before the first byte of the answer. */
    CLOSED,
    /** The peer closed the connection in the middle of the answer. */
    TRUNCATED,
    /** No whole answer arrived in time. */
    TIMEOUT,
    /** The peer sent something that is not HTTP/1.1. */
    MALFORMED,
    /** The caller cancelled the call. */
    CANCELLED
  }

  private final Kind kind;

  /** Creates an exception with the cause of the end. */
  public WireException(Kind kind, String message) {
    super(message);
    this.kind = kind;
  }

  /** Returns how the exchange ended. */
  public Kind kind() {
    return kind;
  }
}
