package org.cornelspoke.state.log;

import java.io.IOException;
import java.nio.file.Path;

/** Thrown if another process has locked the data folder. */
public final class FolderInUseException extends IOException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception for the folder. */
  public FolderInUseException(Path folder) {
    super("data folder is in use by another process: " + folder);
  }
}
