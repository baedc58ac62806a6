package org.cornelspoke.model;

/** Identifies a client key in tables and the audit trail; unlike the key, it is not secret. */
public record KeyId(String value) {

  private static final IdPattern PATTERN = new IdPattern("KeyId", "[a-z0-9][a-z0-9-]{0,62}");

  /**
   * Checks the value against the pattern of the id.
   *
   * @throws IllegalArgumentException if the value does not match
   */
  public KeyId {
    PATTERN.check(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
