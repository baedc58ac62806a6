package org.cornelspoke.daemon.consensus;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.cornelspoke.state.log.Disk;
import org.cornelspoke.state.log.FileDisk;

/** Wraps a disk whose syncs can be stalled or made to fail, and which can refuse to store more. */
final class FaultyDisk implements Disk {

  /** Sets the faults from the test thread. */
  static final class FaultControl {
    private boolean stalled;
    private boolean failing;
    private boolean refusing;
    private Error error;

    synchronized void setStalled(boolean value) {
      stalled = value;
      notifyAll();
    }

    synchronized void setFailing(boolean value) {
      failing = value;
    }

    /** Sets whether files can't be opened, created, renamed or extended, as on a full disk. */
    synchronized void setRefusing(boolean value) {
      refusing = value;
    }

    /** Sets an error that the next sync throws. */
    synchronized void setError(Error value) {
      error = value;
    }

    private synchronized void beforeWrite() throws IOException {
      if (refusing) {
        throw new IOException("simulated refusal: No space left on device");
      }
    }

    private synchronized boolean isRefusing() {
      return refusing;
    }

    private synchronized void beforeSync() throws IOException {
      try {
        while (stalled) {
          wait();
        }
      } catch (InterruptedException e) {
        throw new InterruptedIOException();
      }
      if (error != null) {
        throw error;
      }
      if (failing) {
        throw new IOException("simulated sync failure");
      }
    }
  }

  private final Disk disk;
  private final FaultControl faults;

  /** Opens a folder unless the disk refuses that. */
  static FaultyDisk open(Path folder, FaultControl faults) throws IOException {
    faults.beforeWrite();
    return new FaultyDisk(new FileDisk(folder), faults);
  }

  private FaultyDisk(Disk disk, FaultControl faults) {
    this.disk = disk;
    this.faults = faults;
  }

  @Override
  public List<String> list() throws IOException {
    return disk.list();
  }

  @Override
  public byte[] read(String name) throws IOException {
    return disk.read(name);
  }

  @Override
  public byte[] read(String name, long offset, int length) throws IOException {
    return disk.read(name, offset, length);
  }

  @Override
  public File create(String name) throws IOException {
    faults.beforeWrite();
    File file = disk.create(name);
    return new File() {
      @Override
      public void append(byte[] bytes) throws IOException {
        if (faults.isRefusing()) {
          // The remaining free space takes up a part of the record.
          file.append(Arrays.copyOf(bytes, bytes.length / 2));
        }
        faults.beforeWrite();
        file.append(bytes);
      }

      @Override
      public void sync() throws IOException {
        faults.beforeSync();
        file.sync();
      }

      @Override
      public void close() throws IOException {
        file.close();
      }
    };
  }

  @Override
  public void rename(String from, String to) throws IOException {
    faults.beforeWrite();
    disk.rename(from, to);
  }

  @Override
  public void delete(String name) throws IOException {
    disk.delete(name);
  }

  @Override
  public void syncFolder() throws IOException {
    faults.beforeSync();
    disk.syncFolder();
  }

  @Override
  public void close() throws IOException {
    disk.close();
  }
}
