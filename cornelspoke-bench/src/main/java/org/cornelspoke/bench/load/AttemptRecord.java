package org.cornelspoke.bench.load;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * One line of the load generator's log: one attempt of a request and its response.
 *
 * @param sentMicros wall-clock time in microseconds since the epoch
 * @param endMicros wall-clock time of the response or failure, in microseconds since the epoch
 * @param requestId value of {@code Bench-Request-Id}
 * @param keyId id of the client key that was sent, or null
 * @param idempotencyKey value of {@code Idempotency-Key}, or null
 * @param status HTTP status, or 0 if no complete response was received
 * @param verdict value of {@code Cornelspoke-Verdict}, or null if the response has none
 * @param reason value of {@code Cornelspoke-Reason}, or null
 * @param failure why no complete response was received, or null
 * @param answerId the request id in the body of an upstream's 2xx response, otherwise null
 * @param intact false if an upstream's response is incomplete, altered or inconsistent with its
 *     headers
 * @param withinRate true if the account was within its rate and burst when it sent the request
 */
public record AttemptRecord(
    long sentMicros,
    long endMicros,
    String requestId,
    String account,
    String route,
    String trafficClass,
    String keyId,
    String idempotencyKey,
    int status,
    String verdict,
    String reason,
    String failure,
    String answerId,
    boolean intact,
    boolean withinRate) {

  /** Returns true if the response has a 2xx status, is intact and belongs to this request. */
  @JsonIgnore
  public boolean isSuccess() {
    return status >= 200 && status < 300 && intact && belongsToRequest();
  }

  /**
   * Returns true if the response names this attempt or no attempt or, for a request with an
   * idempotency key, another attempt of the same request.
   */
  @JsonIgnore
  public boolean belongsToRequest() {
    if (answerId == null || answerId.equals(requestId)) {
      return true;
    }
    return idempotencyKey != null && operationOf(answerId).equals(operationOf(requestId));
  }

  private static String operationOf(String id) {
    int dot = id.lastIndexOf('.');
    return dot < 0 ? id : id.substring(0, dot);
  }
}
