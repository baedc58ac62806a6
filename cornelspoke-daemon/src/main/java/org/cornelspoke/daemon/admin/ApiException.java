package org.cornelspoke.daemon.admin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** An error response of the administration API: HTTP status and JSON body. */
final class ApiException extends Exception {

  private static final long serialVersionUID = 1L;

  private final int status;
  private final int retryAfterSeconds;
  private final transient ObjectNode body;

  private ApiException(int status, String error, String message, int retryAfterSeconds) {
    super(message);
    this.status = status;
    this.retryAfterSeconds = retryAfterSeconds;
    this.body = JsonNodeFactory.instance.objectNode().put("error", error).put("message", message);
  }

  static ApiException badRequest(String message) {
    return new ApiException(400, "bad-request", message, 0);
  }

  static ApiException rejected(String reason) {
    return new ApiException(400, "rejected", reason, 0);
  }

  static ApiException unauthorized() {
    return new ApiException(401, "unauthorized", "a valid operator token is required", 0);
  }

  static ApiException notFound(String message) {
    return new ApiException(404, "not-found", message, 0);
  }

  static ApiException conflict(String message) {
    return new ApiException(409, "conflict", message, 0);
  }

  static ApiException tooLarge(int maxBytes) {
    return new ApiException(413, "too-large", "the body must be at most " + maxBytes + " bytes", 0);
  }

  static ApiException unavailable(BackendUnavailableException cause) {
    return new ApiException(
        503,
        cause.outcomeUnknown() ? "outcome-unknown" : "unavailable",
        cause.getMessage(),
        Math.max(1, cause.retryAfterSeconds()));
  }

  static ApiException ofStatus(int status, String message) {
    return new ApiException(status, status == 405 ? "method-not-allowed" : "http", message, 0);
  }

  static ApiException internal() {
    // The outcome of a change is unknown, so a client has to resend it as after a 503.
    return new ApiException(500, "internal", "the request failed; see the daemon's log", 0);
  }

  int status() {
    return status;
  }

  int retryAfterSeconds() {
    return retryAfterSeconds;
  }

  ObjectNode body() {
    return body;
  }
}
