package org.cornelspoke.model;

/** Identifies a control VM by the name that the settings give it. */
public record VmId(String value) {

  private static final IdPattern PATTERN = new IdPattern("VmId", "[a-z0-9][a-z0-9-]{0,62}");

  /**
   * Checks the value against the pattern of the id.
   *
   * @throws IllegalArgumentException if the value does not match
   */
  public VmId {
    PATTERN.check(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
