package org.cornelspoke.state.log;

import java.io.IOException;

/**
 * Thrown if data that was durable cannot be read back. The data folder has not been modified; the
 * message tells the operator how to recover.
 */
public final class DamagedStorageException extends IOException {

  private static final long serialVersionUID = 1L;

  private final String fileName;
  private final long offsetBytes;

  /** Creates an exception for damage at an offset in a file of the data folder. */
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

  /** Returns the offset in the file at which the damage was detected. */
  public long offsetBytes() {
    return offsetBytes;
  }
}
