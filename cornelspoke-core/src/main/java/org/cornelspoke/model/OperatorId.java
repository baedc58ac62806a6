package org.cornelspoke.model;

/** Identifies an operator. */
public record OperatorId(String value) {

  private static final IdPattern PATTERN = new IdPattern("OperatorId", "[a-z0-9][a-z0-9-]{0,62}");

  /**
   * Checks the value against the pattern of the id.
   *
   * @throws IllegalArgumentException if the value does not match
   */
  public OperatorId {
    PATTERN.check(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
