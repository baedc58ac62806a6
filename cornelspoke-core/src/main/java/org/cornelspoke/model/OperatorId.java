package org.cornelspoke.model;

/** Identifies an operator. */
public record OperatorId(String value) {

  private static final IdPattern PATTERN = new IdPattern("OperatorId", "[a-z0-9][a-z0-9-]{0,62}");

  /**
   * Checks the text against the id's pattern.
   *
   * @throws IllegalArgumentException if the text does not match
   */
  public OperatorId {
    PATTERN.check(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
