package org.cornelspoke.model;

/** Identifies a change that an operator may resend. */
public record RequestId(String value) {

  private static final IdPattern PATTERN =
      new IdPattern("RequestId", "[A-Za-z0-9][A-Za-z0-9._:-]{0,126}");

  /**
   * Checks the text against the id's pattern.
   *
   * @throws IllegalArgumentException if the text does not match
   */
  public RequestId {
    PATTERN.check(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
