package org.cornelspoke.daemon.consensus;

import java.io.IOException;
import java.nio.file.Path;
import org.cornelspoke.state.log.Disk;

/** Opens a data folder. */
@FunctionalInterface
public interface DiskOpener {

  /**
   * Opens the folder for exclusive use.
   *
   * @throws org.cornelspoke.state.log.FolderInUseException if another process uses it
   * @throws IOException if it cannot be created
   */
  Disk open(Path folder) throws IOException;
}
