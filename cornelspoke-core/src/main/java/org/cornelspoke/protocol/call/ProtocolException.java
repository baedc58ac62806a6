package org.cornelspoke.protocol.call;

import java.io.IOException;

/** Thrown when a peer violates the protocol. The connection must then be closed. */
public final class ProtocolException extends IOException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with a description of the violation. */
  public ProtocolException(String message) {
    super(message);
  }

  /** Creates the exception with a description of the violation and the decoding error. */
  public ProtocolException(String message, Throwable cause) {
    super(message, cause);
  }
}
