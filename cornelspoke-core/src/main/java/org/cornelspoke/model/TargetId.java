package org.cornelspoke.model;

/** Identifies a target, one upstream process together with its daemon. */
public record TargetId(String value) {

  private static final IdPattern PATTERN =
      new IdPattern("TargetId", "[A-Za-z0-9][A-Za-z0-9._:-]{0,126}");

  /**
   * Checks the text against the id's pattern.
   *
   * @throws IllegalArgumentException if the text does not match
   */
  public TargetId {
    PATTERN.check(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
