package org.cornelspoke.daemon.traffic;

import org.cornelspoke.protocol.call.Headers;

/**
 * The headers of a request that the daemon itself reads.
 *
 * @param key client key, or null
 * @param idempotencyKey or null
 * @param context signed context, or null
 * @param deadlineMillis time left that the caller states, or -1
 * @param requestId the caller's name of the request, for logs, or null
 */
public record CallerHeaders(
    String key, String idempotencyKey, String context, long deadlineMillis, String requestId) {

  private static final String BEARER = "bearer ";
  private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 255;

  /**
   * Reads the headers.
   *
   * @throws IllegalArgumentException if one of them is malformed or occurs twice: another reader
   *     could use the other value
   */
  static CallerHeaders of(Headers headers) {
    String idempotencyKey = single(headers, "idempotency-key");
    if (idempotencyKey != null
        && (idempotencyKey.isEmpty() || idempotencyKey.length() > MAX_IDEMPOTENCY_KEY_LENGTH)) {
      throw new IllegalArgumentException("Idempotency-Key must have 1 to 255 characters");
    }
    String deadline = single(headers, "cornelspoke-deadline-millis");
    if (deadline != null && !deadline.matches("[0-9]{1,9}")) {
      throw new IllegalArgumentException("Cornelspoke-Deadline-Millis must be a number");
    }
    return new CallerHeaders(
        bearer(single(headers, "authorization")),
        idempotencyKey,
        single(headers, "cornelspoke-context"),
        deadline == null ? -1 : Long.parseLong(deadline),
        null);
  }

  private static String bearer(String authorization) {
    if (authorization == null
        || !authorization.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
      return null;
    }
    String key = authorization.substring(BEARER.length()).strip();
    return key.isEmpty() ? null : key;
  }

  /**
   * Returns the value of a header, or null.
   *
   * @throws IllegalArgumentException if it occurs twice
   */
  public static String single(Headers headers, String lowerName) {
    int line = headers.find(lowerName);
    if (line < 0) {
      return null;
    }
    if (headers.find(lowerName, line + 1) >= 0) {
      throw new IllegalArgumentException(lowerName + " must occur once");
    }
    return headers.value(line);
  }
}
