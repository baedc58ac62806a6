package org.cornelspoke.state.log;

/** Kind of a log entry. The code is part of stored and transmitted data. */
public enum EntryKind {
  /** An empty entry that a new leader appends to commit the entries of earlier terms. */
  NO_OP(0),
  /** A command for the state machine. */
  COMMAND(1),
  /** The group membership that applies from this entry on. */
  MEMBERSHIP(2);

  private final int code;

  EntryKind(int code) {
    this.code = code;
  }

  /** Returns the code of this kind in files and messages. */
  public int code() {
    return code;
  }

  /**
   * Returns the kind with the given code.
   *
   * @throws IllegalArgumentException if no kind has the code
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
