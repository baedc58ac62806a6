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
   * @throws IOException if it cannot be created or is in use by another process
   */
  Disk open(Path folder) throws IOException;
}
