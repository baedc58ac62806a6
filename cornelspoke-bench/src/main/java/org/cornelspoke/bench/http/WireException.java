package org.cornelspoke.bench.http;

import java.io.IOException;

/** Thrown when an exchange ends without a complete message. */
public final class WireException extends IOException {

  private static final long serialVersionUID = 1L;

  /** How the exchange ended. */
  public enum Kind {
    /** No connection could be opened; no byte was sent. */
    CONNECT,
    /** The peer closed the connection before the first byte of the response. */
    CLOSED,
    /** The peer closed the connection in the middle of the response. */
    TRUNCATED,
    /** No complete response was received in time. */
    TIMEOUT,
    /** The peer sent something that is not HTTP/1.1. */
    MALFORMED,
    /** The caller cancelled the call. */
    CANCELLED
  }

  private final Kind kind;

  /** Creates an exception. */
  public WireException(Kind kind, String message) {
    super(message);
    this.kind = kind;
  }

  /** Returns how the exchange ended. */
  public Kind kind() {
    return kind;
  }
}
