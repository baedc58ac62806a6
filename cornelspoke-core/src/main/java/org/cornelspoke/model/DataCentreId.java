package org.cornelspoke.model;

/** Identifies a data centre. */
public record DataCentreId(String value) {

  private static final IdPattern PATTERN = new IdPattern("DataCentreId", "[a-z0-9][a-z0-9-]{0,62}");

  /**
   * Checks the text against the id's pattern.
   *
   * @throws IllegalArgumentException if the text does not match
   */
  public DataCentreId {
    PATTERN.check(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
