package org.cornelspoke.model;

/** Identifies a call between a caller or upstream and a daemon; unique within the fleet. */
public record CallId(String value) {

  private static final IdPattern PATTERN = new IdPattern("CallId", "[0-9a-f]{32}");

  /**
   * Checks the value against the pattern of the id.
   *
   * @throws IllegalArgumentException if the value is not 32 lower-case hexadecimal digits
   */
  public CallId {
    PATTERN.check(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
