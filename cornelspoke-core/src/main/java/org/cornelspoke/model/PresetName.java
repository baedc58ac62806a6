package org.cornelspoke.model;

/** Identifies a preset. */
public record PresetName(String value) {

  private static final IdPattern PATTERN = new IdPattern("PresetName", "[a-z0-9][a-z0-9-]{0,62}");

  /**
   * Checks the value against the pattern of the id.
   *
   * @throws IllegalArgumentException if the value does not match
   */
  public PresetName {
    PATTERN.check(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
