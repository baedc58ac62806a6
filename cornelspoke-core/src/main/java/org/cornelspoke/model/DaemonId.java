package org.cornelspoke.model;

/** Identifies a daemon process; the id is stable across restarts. */
public record DaemonId(String value) {

  private static final IdPattern PATTERN =
      new IdPattern("DaemonId", "[A-Za-z0-9][A-Za-z0-9._:-]{0,126}");

  /**
   * Checks the value against the pattern of the id.
   *
   * @throws IllegalArgumentException if the value does not match
   */
  public DaemonId {
    PATTERN.check(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
