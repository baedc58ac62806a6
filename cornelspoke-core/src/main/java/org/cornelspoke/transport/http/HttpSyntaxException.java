package org.cornelspoke.transport.http;

import java.io.IOException;
import org.cornelspoke.model.RefusalReason;

/**
 * Thrown if a message violates the HTTP/1.1 syntax or a size limit. The connection must be closed.
 */
public final class HttpSyntaxException extends IOException {

  private static final long serialVersionUID = 1L;
  private static final int HEAD_TOO_LARGE = 431;

  private final RefusalReason reason;
  private final int status;

  HttpSyntaxException(RefusalReason reason, String message) {
    this(reason, reason.httpStatus(), message);
  }

  private HttpSyntaxException(RefusalReason reason, int status, String message) {
    super(message);
    this.reason = reason;
    this.status = status;
  }

  static HttpSyntaxException malformed(String message) {
    return new HttpSyntaxException(RefusalReason.BAD_REQUEST, message);
  }

  static HttpSyntaxException headTooLarge() {
    return new HttpSyntaxException(
        RefusalReason.TOO_LARGE, HEAD_TOO_LARGE, "message head is too large");
  }

  /** Returns the reason to report to the caller. */
  public RefusalReason reason() {
    return reason;
  }

  /** Returns the HTTP status to report to the caller. */
  public int status() {
    return status;
  }
}
