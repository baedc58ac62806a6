package org.cornelspoke.state.log;

import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;

/**
 * File operations that the log needs, on a single folder. File content is durable after {@link
 * File#sync}; creation, renaming and deletion are durable after {@link #syncFolder}.
 *
 * <p>Not thread-safe; used by one thread at a time, except {@link #read(String, long, int)}, which
 * another thread may call meanwhile.
 */
public interface Disk extends Closeable {

  /** Returns the sorted names of the files in the folder. */
  List<String> list() throws IOException;

  /** Reads a file completely. */
  byte[] read(String name) throws IOException;

  /**
   * Reads a range of a file.
   *
   * @throws EOFException if the file ends before the range does
   */
  default byte[] read(String name, long offset, int length) throws IOException {
    byte[] content = read(name);
    if (offset + length > content.length) {
      throw new EOFException(name + " ends before " + (offset + length));
    }
    return Arrays.copyOfRange(content, (int) offset, (int) offset + length);
  }

  /**
   * Creates an empty file.
   *
   * @throws IOException if the file exists or cannot be created
   */
  File create(String name) throws IOException;

  /** Renames a file, replacing any file that has the new name. Open files remain usable. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file. */
  void delete(String name) throws IOException;

  /** Makes file creations, renames and deletions durable. */
  void syncFolder() throws IOException;

  /** Returns the free space of the file system in bytes, or -1 if it is unknown. */
  default long usableBytes() throws IOException {
    return -1;
  }

  /** A file opened for appending. */
  interface File extends Closeable {

    /** Appends all bytes. */
    void append(byte[] bytes) throws IOException;

    /** Makes the content durable. */
    void sync() throws IOException;
  }
}
