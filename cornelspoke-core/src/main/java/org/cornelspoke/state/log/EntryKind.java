package org.cornelspoke.state.log;

/** What a log entry carries. */
public enum EntryKind {
  /** Nothing; written by a new leader to commit the entries of earlier terms. */
  NO_OP(0),
  /** A command for the state machine. */
  COMMAND(1),
  /** The membership that is in force from this entry on. */
  MEMBERSHIP(2);

  private final int code;

  EntryKind(int code) {
    this.code = code;
  }

  /** Returns the number that stands for this kind in files and messages. */
  public int code() {
    return code;
  }

  /**
   * Returns the kind for a number.
   *
   * @throws IllegalArgumentException if no kind has the number
   */
  public static EntryKind ofCode(int code) {
    for (EntryKind kind : values()) {
      if (kind.code == code) {
        return kind;
      }
    }
    throw new IllegalArgumentException("unknown entry kind " + code);
  }
}
