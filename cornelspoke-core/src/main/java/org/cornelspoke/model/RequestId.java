package org.cornelspoke.model;

/** Identifies a configuration change so that an operator can retry it safely. */
public record RequestId(String value) {

  private static final IdPattern PATTERN =
      new IdPattern("RequestId", "[A-Za-z0-9][A-Za-z0-9._:-]{0,126}");

  /**
   * Checks the value against the pattern of the id.
   *
   * @throws IllegalArgumentException if the value does not match
   */
  public RequestId {
    PATTERN.check(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
