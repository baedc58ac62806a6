package org.cornelspoke.model;

/** Identifies a daemon process; a restarted daemon keeps its id. */
public record DaemonId(String value) {

  private static final IdPattern PATTERN =
      new IdPattern("DaemonId", "[A-Za-z0-9][A-Za-z0-9._:-]{0,126}");

  /**
   * Checks the text against the id's pattern.
   *
   * @throws IllegalArgumentException if the text does not match
   */
  public DaemonId {
    PATTERN.check(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
