package org.cornelspoke.model;

/** Why the product itself answered a request. Each reason has a code and an HTTP status. */
public enum RefusalReason {
  /** The request is malformed. */
  BAD_REQUEST("bad-request", 400),
  /** A transfer coding or method is not supported. */
  UNSUPPORTED("unsupported", 501),
  /** The body or head is too large. */
  TOO_LARGE("too-large", 413),
  /** No route matches. */
  NO_ROUTE("no-route", 404),
  /** The key is absent, unknown or withdrawn. */
  KEY("key", 401),
  /** The daemon cannot prove that its configuration is current. */
  STALE("stale", 503),
  /** The account is over its rate and burst. */
  RATE("rate", 429),
  /** The queue is full or the class is being shed. */
  OVERLOAD("overload", 503),
  /** The upstream declared that it is full and did not run the request. */
  SHED("shed", 503),
  /** The calls of such requests queue at a service below at present. */
  DOWNSTREAM("downstream", 503),
  /** The preset in force refuses this class. */
  PRESET("preset", 503),
  /** The remaining time is shorter than the expected wait and service time. */
  DEADLINE("deadline", 504),
  /** No live target serves the route. */
  NO_TARGET("no-target", 503),
  /** The target is draining or its daemon is stopping. */
  DRAINING("draining", 503),
  /** The claim for an unrepeatable request could not be placed. */
  CLAIM_UNAVAILABLE("claim-unavailable", 503),
  /** The claim table of the account is full. */
  CLAIM_TABLE_FULL("claim-table-full", 503),
  /** A request with the same idempotency key is still running or its outcome is unknown. */
  CLAIM_RUNNING("claim-running", 409),
  /** The idempotency key was used for a different request. */
  CLAIM_MISMATCH("claim-mismatch", 422),
  /** The request ran, but its answer was not kept. */
  ANSWER_NOT_KEPT("answer-not-kept", 409),
  /** The upstream broke the connection, sent a malformed answer or a truncated one. */
  UPSTREAM_FAILED("upstream-failed", 502),
  /** The upstream did not answer in time. */
  UPSTREAM_TIMEOUT("upstream-timeout", 504),
  /** The link to the target's daemon broke after the call was sent. */
  LINK_FAILED("link-failed", 502),
  /** The caller left before the answer. */
  CANCELLED("cancelled", 499);

  private final String code;
  private final int httpStatus;

  RefusalReason(String code, int httpStatus) {
    this.code = code;
    this.httpStatus = httpStatus;
  }

  /** Returns the value of the {@code Cornelspoke-Reason} header. */
  public String code() {
    return code;
  }

  /** Returns the HTTP status of an answer with this reason. */
  public int httpStatus() {
    return httpStatus;
  }
}
