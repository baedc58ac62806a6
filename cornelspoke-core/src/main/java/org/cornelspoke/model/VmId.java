package org.cornelspoke.model;

/** Identifies a control VM by the name that operators gave it in the settings. */
public record VmId(String value) {

  private static final IdPattern PATTERN = new IdPattern("VmId", "[a-z0-9][a-z0-9-]{0,62}");

  /**
   * Checks the text against the id's pattern.
   *
   * @throws IllegalArgumentException if the text does not match
   */
  public VmId {
    PATTERN.check(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
