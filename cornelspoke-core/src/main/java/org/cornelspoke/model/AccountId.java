package org.cornelspoke.model;

/** Identifies a client account. */
public record AccountId(String value) {

  private static final IdPattern PATTERN = new IdPattern("AccountId", "[a-z0-9][a-z0-9-]{0,62}");

  /**
   * Checks the text against the id's pattern.
   *
   * @throws IllegalArgumentException if the text does not match
   */
  public AccountId {
    PATTERN.check(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
