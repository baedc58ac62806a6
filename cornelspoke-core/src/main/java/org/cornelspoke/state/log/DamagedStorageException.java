package org.cornelspoke.state.log;

import java.io.IOException;

/**
 * Stored data that was once durable cannot be read back. Nothing has been changed; the message says
 * what to do.
 */
public final class DamagedStorageException extends IOException {

  private static final long serialVersionUID = 1L;

  private final String fileName;
  private final long offsetBytes;

  /** Creates an exception for a position in a file of the data folder. */
  public DamagedStorageException(String fileName, long offsetBytes, String detail) {
    super(
        fileName
            + " is damaged at byte "
            + offsetBytes
            + " ("
            + detail
            + "). Nothing was changed. Remove this member from the group, move the data folder"
            + " away and start with an empty folder; the VM then joins as a learner.");
    this.fileName = fileName;
    this.offsetBytes = offsetBytes;
  }

  /** Returns the name of the damaged file, relative to the data folder. */
  public String fileName() {
    return fileName;
  }

  /** Returns where the damage was found. */
  public long offsetBytes() {
    return offsetBytes;
  }
}
