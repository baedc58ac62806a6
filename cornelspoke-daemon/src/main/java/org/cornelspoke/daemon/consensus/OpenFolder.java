package org.cornelspoke.daemon.consensus;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.function.Supplier;
import org.cornelspoke.state.log.DescribingDisk;
import org.cornelspoke.state.log.Disk;
import org.cornelspoke.state.log.LogStorage;
import org.cornelspoke.state.log.MemberIdentity;

/** A locked data folder and the log in it. */
record OpenFolder(Disk disk, LogStorage storage) implements Closeable {

  /** Opens both or neither. */
  static OpenFolder open(
      DiskOpener opener, Path folder, long segmentBytes, Supplier<MemberIdentity> newIdentity)
      throws IOException {
    Disk disk = new DescribingDisk(opener.open(folder));
    LogStorage storage = null;
    try {
      storage = LogStorage.open(disk, segmentBytes, newIdentity);
    } finally {
      if (storage == null) {
        disk.close();
      }
    }
    return new OpenFolder(disk, storage);
  }

  @Override
  public void close() throws IOException {
    try {
      storage.close();
    } finally {
      disk.close();
    }
  }
}
