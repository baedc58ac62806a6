package org.cornelspoke.model;

/** Identifies one call between a caller or upstream and a daemon; unique in the fleet. */
public record CallId(String value) {

  private static final IdPattern PATTERN = new IdPattern("CallId", "[0-9a-f]{32}");

  /**
   * Checks the text against the id's pattern.
   *
   * @throws IllegalArgumentException if the text is not 32 hexadecimal digits
   */
  public CallId {
    PATTERN.check(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
