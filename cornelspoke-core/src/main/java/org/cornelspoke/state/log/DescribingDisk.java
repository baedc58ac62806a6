package org.cornelspoke.state.log;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelspoke.util.Assert;

/** Adds the operation, the file and the free space to the exceptions of another disk. */
public final class DescribingDisk implements Disk {

  private final Disk disk;
  private final Map<String, DescribingFile> openFiles = new HashMap<>();

  /** Wraps a disk, which is closed together with this one. */
  public DescribingDisk(Disk disk) {
    this.disk = Assert.notNull(disk, "disk");
  }

  @Override
  public List<String> list() throws IOException {
    return describe("listing the folder", disk::list);
  }

  @Override
  public byte[] read(String name) throws IOException {
    return describe("reading " + name, () -> disk.read(name));
  }

  @Override
  public byte[] read(String name, long offset, int length) throws IOException {
    return describe("reading " + name, () -> disk.read(name, offset, length));
  }

  @Override
  public File create(String name) throws IOException {
    DescribingFile file =
        new DescribingFile(name, describe("creating " + name, () -> disk.create(name)));
    openFiles.put(name, file);
    return file;
  }

  @Override
  public void rename(String from, String to) throws IOException {
    describeAction("renaming " + from + " to " + to, () -> disk.rename(from, to));
    DescribingFile file = openFiles.remove(from);
    if (file != null) {
      file.name = to;
      openFiles.put(to, file);
    }
  }

  @Override
  public void delete(String name) throws IOException {
    describeAction("deleting " + name, () -> disk.delete(name));
  }

  @Override
  public void syncFolder() throws IOException {
    describeAction("syncing the folder", disk::syncFolder);
  }

  @Override
  public long usableBytes() throws IOException {
    return disk.usableBytes();
  }

  @Override
  public void close() throws IOException {
    disk.close();
  }

  private interface Operation<T> {
    T run() throws IOException;
  }

  private interface Action {
    void run() throws IOException;
  }

  private <T> T describe(String description, Operation<T> operation) throws IOException {
    try {
      return operation.run();
    } catch (IOException e) {
      throw new DiskOperationException(description, usableBytesIfKnown(e), e);
    }
  }

  private void describeAction(String description, Action action) throws IOException {
    try {
      action.run();
    } catch (IOException e) {
      throw new DiskOperationException(description, usableBytesIfKnown(e), e);
    }
  }

  private long usableBytesIfKnown(IOException failure) {
    try {
      return disk.usableBytes();
    } catch (IOException e) {
      failure.addSuppressed(e);
      return -1;
    }
  }

  private final class DescribingFile implements File {

    private final File file;
    private String name;

    DescribingFile(String name, File file) {
      this.name = name;
      this.file = file;
    }

    @Override
    public void append(byte[] bytes) throws IOException {
      describeAction("appending " + bytes.length + " bytes to " + name, () -> file.append(bytes));
    }

    @Override
    public void sync() throws IOException {
      describeAction("syncing " + name, file::sync);
    }

    @Override
    public void close() throws IOException {
      openFiles.remove(name, this);
      describeAction("closing " + name, file::close);
    }
  }
}
