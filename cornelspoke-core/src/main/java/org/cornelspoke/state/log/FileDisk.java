package org.cornelspoke.state.log;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;
import org.cornelspoke.util.Assert;

/** A folder of the file system, protected by a lock file against use by a second process. */
public final class FileDisk implements Disk {

  private static final String LOCK_FILE = "lock";

  private final Path folder;
  private final FileChannel lockChannel;

  /**
   * Creates the folder if it does not exist and locks it until {@link #close}.
   *
   * @throws FolderInUseException if the folder is locked by another process
   * @throws IOException if the folder cannot be created
   */
  public FileDisk(Path folder) throws IOException {
    this.folder = Assert.notNull(folder, "folder");
    Files.createDirectories(folder);
    this.lockChannel =
        FileChannel.open(
            folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    if (!tryLock()) {
      lockChannel.close();
      throw new FolderInUseException(folder);
    }
  }

  private boolean tryLock() throws IOException {
    try {
      FileLock lock = lockChannel.tryLock();
      return lock != null;
    } catch (OverlappingFileLockException e) {
      return false;
    }
  }

  @Override
  public List<String> list() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(Files::isRegularFile)
          .map(file -> file.getFileName().toString())
          .filter(name -> !name.equals(LOCK_FILE))
          .sorted()
          .toList();
    }
  }

  @Override
  public byte[] read(String name) throws IOException {
    return Files.readAllBytes(folder.resolve(name));
  }

  @Override
  public byte[] read(String name, long offset, int length) throws IOException {
    ByteBuffer buffer = ByteBuffer.allocate(length);
    try (FileChannel channel = FileChannel.open(folder.resolve(name), StandardOpenOption.READ)) {
      while (buffer.hasRemaining()) {
        if (channel.read(buffer, offset + buffer.position()) < 0) {
          throw new EOFException(name + " ends before " + (offset + length));
        }
      }
    }
    return buffer.array();
  }

  @Override
  public File create(String name) throws IOException {
    FileChannel channel =
        FileChannel.open(
            folder.resolve(name), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
    return new ChannelFile(channel);
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.delete(folder.resolve(name));
  }

  @Override
  public void syncFolder() throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  @Override
  public long usableBytes() throws IOException {
    return Files.getFileStore(folder).getUsableSpace();
  }

  @Override
  public void close() throws IOException {
    lockChannel.close();
  }

  private record ChannelFile(FileChannel channel) implements File {

    @Override
    public void append(byte[] bytes) throws IOException {
      ByteBuffer buffer = ByteBuffer.wrap(bytes);
      while (buffer.hasRemaining()) {
        channel.write(buffer);
      }
    }

    @Override
    public void sync() throws IOException {
      channel.force(false);
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
