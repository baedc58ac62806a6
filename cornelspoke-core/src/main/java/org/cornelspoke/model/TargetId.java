package org.cornelspoke.model;

/** Identifies a target, which is an upstream process together with its daemon. */
public record TargetId(String value) {

  private static final IdPattern PATTERN =
      new IdPattern("TargetId", "[A-Za-z0-9][A-Za-z0-9._:-]{0,126}");

  /**
   * Checks the value against the pattern of the id.
   *
   * @throws IllegalArgumentException if the value does not match
   */
  public TargetId {
    PATTERN.check(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
