package org.cornelspoke.model;

/** Identifies a data centre. */
public record DataCentreId(String value) {

  private static final IdPattern PATTERN = new IdPattern("DataCentreId", "[a-z0-9][a-z0-9-]{0,62}");

  /**
   * Checks the value against the pattern of the id.
   *
   * @throws IllegalArgumentException if the value does not match
   */
  public DataCentreId {
    PATTERN.check(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
