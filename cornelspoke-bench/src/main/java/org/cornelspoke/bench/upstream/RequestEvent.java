package org.cornelspoke.bench.upstream;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * One line of a stand-in's log. A request that ran has one {@code STARTED} line and, unless the
 * process was killed, one line that says how it ended.
 *
 * @param atMicros wall-clock time in microseconds since the epoch
 * @param callId the call id in {@code Cornelspoke-Context}, or null if there is none to read
 * @param contextAccount the account in {@code Cornelspoke-Context}, or null
 * @param requestId the value of {@code Bench-Request-Id}; nested calls add {@code /n} to the id of
 *     their parent
 * @param authorization true if the request carried an {@code Authorization} header
 */
public record RequestEvent(
    long atMicros,
    String target,
    Kind kind,
    String method,
    String path,
    String idempotencyKey,
    String callId,
    String contextAccount,
    String requestId,
    boolean authorization) {

  /** What happened. */
  public enum Kind {
    /** The request got a slot and began to run. */
    STARTED,
    /** The whole answer was sent. */
    COMPLETED,
    /** Work stopped because the caller left or the deadline passed. */
    CANCELLED,
    /** The request ran, but the connection was closed without an answer or in the middle of it. */
    CUT,
    /** The request was refused with the documented shed answer and did not run. */
    SHED,
    /** The caller left before the request got a slot. */
    LEFT
  }

  /** Returns true if the request came from outside and not from another upstream. */
  @JsonIgnore
  public boolean isRoot() {
    return requestId == null || requestId.indexOf('/') < 0;
  }
}
