package org.cornelspoke.model;

/** Identifies a preset. */
public record PresetName(String value) {

  private static final IdPattern PATTERN = new IdPattern("PresetName", "[a-z0-9][a-z0-9-]{0,62}");

  /**
   * Checks the text against the id's pattern.
   *
   * @throws IllegalArgumentException if the text does not match
   */
  public PresetName {
    PATTERN.check(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
