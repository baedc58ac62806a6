package org.cornelspoke.daemon.traffic;

import org.cornelspoke.protocol.call.Headers;

/**
 * The request headers that the daemon interprets.
 *
 * @param clientKey client key, or null if absent
 * @param idempotencyKey idempotency key, or null if absent
 * @param context signed call context, or null if absent
 * @param remainingMillis remaining time stated by the caller, or -1 if absent
 * @param requestId the caller's request id, used in logs, or null if absent
 */
public record CallerHeaders(
    String clientKey,
    String idempotencyKey,
    String context,
    long remainingMillis,
    String requestId) {

  private static final String BEARER = "bearer ";
  private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 255;

  /**
   * Parses the headers.
   *
   * @throws IllegalArgumentException if one of them is malformed or occurs more than once, because
   *     another component could use the other value
   */
  static CallerHeaders of(Headers headers) {
    String idempotencyKey = singleValue(headers, "idempotency-key");
    if (idempotencyKey != null
        && (idempotencyKey.isEmpty() || idempotencyKey.length() > MAX_IDEMPOTENCY_KEY_LENGTH)) {
      throw new IllegalArgumentException("Idempotency-Key must have 1 to 255 characters");
    }
    String deadline = singleValue(headers, "cornelspoke-deadline-millis");
    if (deadline != null && !deadline.matches("[0-9]{1,9}")) {
      throw new IllegalArgumentException("Cornelspoke-Deadline-Millis must be a number");
    }
    return new CallerHeaders(
        bearer(singleValue(headers, "authorization")),
        idempotencyKey,
        singleValue(headers, "cornelspoke-context"),
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
   * Returns the value of a header, or null if it is absent.
   *
   * @param lowerName name of the header in lower case
   * @throws IllegalArgumentException if it occurs more than once
   */
  public static String singleValue(Headers headers, String lowerName) {
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
