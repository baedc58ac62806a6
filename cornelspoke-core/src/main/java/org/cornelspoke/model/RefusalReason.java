package org.cornelspoke.model;

/** Reason why a daemon answered a request itself, with its code and HTTP status. */
public enum RefusalReason {
  /** The request is malformed. */
  BAD_REQUEST("bad-request", 400),
  /** The transfer coding or method of the request is not supported. */
  UNSUPPORTED("unsupported", 501),
  /** The header section or the body of the request is too large. */
  TOO_LARGE("too-large", 413),
  /** No route matches the request. */
  NO_ROUTE("no-route", 404),
  /** The client key is missing, unknown or withdrawn. */
  KEY("key", 401),
  /** The daemon cannot prove that its configuration is current. */
  STALE("stale", 503),
  /** The account has exceeded its rate and burst. */
  RATE("rate", 429),
  /** The queue is full, or requests of the class are being shed. */
  OVERLOAD("overload", 503),
  /** The upstream reported that it is at capacity and did not run the request. */
  SHED("shed", 503),
  /** Nested calls of requests of this kind are currently queueing at a downstream service. */
  DOWNSTREAM("downstream", 503),
  /** The active preset refuses the traffic class. */
  PRESET("preset", 503),
  /** The time until the deadline is shorter than the expected queueing and service time. */
  DEADLINE("deadline", 504),
  /** No live target is available for the route. */
  NO_TARGET("no-target", 503),
  /** The target is draining or its daemon is stopping. */
  DRAINING("draining", 503),
  /** The target lies in a data centre that operators have evacuated. */
  EVACUATED("evacuated", 503),
  /** Requests of this content have crashed the upstreams that ran them. */
  QUARANTINED("quarantined", 503),
  /** The claim for a request that is not repeatable could not be placed. */
  CLAIM_UNAVAILABLE("claim-unavailable", 503),
  /** The claim table of the account is full. */
  CLAIM_TABLE_FULL("claim-table-full", 503),
  /** A request with the same idempotency key is still running, or its outcome is unknown. */
  CLAIM_RUNNING("claim-running", 409),
  /** The idempotency key was used for a different request. */
  CLAIM_MISMATCH("claim-mismatch", 422),
  /** The request has run, but its response was not stored. */
  ANSWER_NOT_KEPT("answer-not-kept", 409),
  /** The upstream closed the connection or sent a malformed or truncated response. */
  UPSTREAM_FAILED("upstream-failed", 502),
  /** The upstream did not respond in time. */
  UPSTREAM_TIMEOUT("upstream-timeout", 504),
  /** The link to the target's daemon failed after the call was sent. */
  LINK_FAILED("link-failed", 502),
  /** The caller disconnected before the response. */
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

  /** Returns the HTTP status of a response with this reason. */
  public int httpStatus() {
    return httpStatus;
  }
}
