package org.cornelspoke.state.log;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * The few file operations that the log needs, on one folder. Content is durable after {@link
 * File#sync}; creation, renaming and removal are durable after {@link #syncFolder}.
 *
 * <p>Used by one thread at a time.
 */
public interface Disk extends Closeable {

  /** Returns the names of the files in the folder, sorted. */
  List<String> list() throws IOException;

  /** Reads a whole file. */
  byte[] read(String name) throws IOException;

  /**
   * Creates an empty file.
   *
   * @throws IOException if the file exists or cannot be created
   */
  File create(String name) throws IOException;

  /** Renames a file; replaces the file that has the new name. Open files stay usable. */
  void rename(String from, String to) throws IOException;

  /** Removes a file. */
  void delete(String name) throws IOException;

  /** Makes creations, renames and removals durable. */
  void syncFolder() throws IOException;

  /** A file that is open for appending. */
  interface File extends Closeable {

    /** Writes all bytes at the end. */
    void append(byte[] bytes) throws IOException;

    /** Makes the content durable. */
    void sync() throws IOException;
  }
}
