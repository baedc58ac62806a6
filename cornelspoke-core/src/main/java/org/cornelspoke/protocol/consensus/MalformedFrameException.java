package org.cornelspoke.protocol.consensus;

import java.io.IOException;

/**
 * Thrown when a frame from another control VM cannot be decoded. The connection must then be
 * closed.
 */
public final class MalformedFrameException extends IOException {

  private static final long serialVersionUID = 1L;

  MalformedFrameException(String message, Throwable cause) {
    super(message, cause);
  }
}
