package org.cornelspoke.bench.load;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * One line of the load generator's log: one attempt of a request and its answer.
 *
 * @param sentMicros wall-clock time in microseconds since the epoch
 * @param endMicros wall-clock time of the answer or failure
 * @param requestId value of {@code Bench-Request-Id}
 * @param keyId id of the client key that was sent, or null
 * @param idempotencyKey value of {@code Idempotency-Key}, or null
 * @param status HTTP status, or 0 if no whole answer came
 * @param verdict value of {@code Cornelspoke-Verdict}, or null if the upstream answered
 * @param reason value of {@code Cornelspoke-Reason}, or null
 * @param failure how the exchange ended without an answer, or null
 * @param answerId the request id that the answer names, or null if it names none
 * @param intact false if an upstream's answer is not the one that was made for its request
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

  /** Returns true if the answer is a whole success of an upstream. */
  @JsonIgnore
  public boolean isSuccess() {
    return status >= 200 && status < 300 && intact && belongsToRequest();
  }

  /**
   * Returns true if the answer names this request or, for a request with an idempotency key,
   * another attempt of the same request.
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
