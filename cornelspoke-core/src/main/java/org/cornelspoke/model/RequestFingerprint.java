package org.cornelspoke.model;

/**
 * Identifies the content of a request: method, host, path with query, client account and body. All
 * attempts of a request, and all requests of the same content, have the same fingerprint.
 */
public record RequestFingerprint(String value) {

  private static final IdPattern PATTERN = new IdPattern("RequestFingerprint", "[0-9a-f]{32}");

  /**
   * Checks the value against the pattern of the id.
   *
   * @throws IllegalArgumentException if the value is not 32 lower-case hexadecimal digits
   */
  public RequestFingerprint {
    PATTERN.check(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
