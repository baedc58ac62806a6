package org.cornelspoke.protocol.call;

import java.io.IOException;

/** A peer sent something that the protocol does not allow. The connection must be closed. */
public final class ProtocolException extends IOException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with the rule that was broken. */
  public ProtocolException(String message) {
    super(message);
  }

  /** Creates the exception with the rule that was broken and the decoding fault behind it. */
  public ProtocolException(String message, Throwable cause) {
    super(message, cause);
  }
}
