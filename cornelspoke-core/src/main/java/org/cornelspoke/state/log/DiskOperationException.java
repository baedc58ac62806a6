package org.cornelspoke.state.log;

import java.io.IOException;

/** Thrown if the operating system refused an operation on a file of the data folder. */
public final class DiskOperationException extends IOException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param operation what was attempted, with the name of the file
   * @param usableBytes free space of the file system in bytes, or -1 if it is unknown
   */
  DiskOperationException(String operation, long usableBytes, IOException cause) {
    super(
        operation
            + " failed with "
            + (usableBytes < 0 ? "an unknown number of" : usableBytes)
            + " bytes usable: "
            + cause,
        cause);
  }
}
