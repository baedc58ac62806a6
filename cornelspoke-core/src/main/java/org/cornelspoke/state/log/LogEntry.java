package org.cornelspoke.state.log;

import java.util.Arrays;
import java.util.Objects;
import org.cornelspoke.util.Assert;

/**
 * One entry of the replicated log. The data array is shared and must not be modified.
 *
 * <p>The data of a recovered entry may remain on disk; it is then read by each call of {@link
 * #data}.
 */
public final class LogEntry {

  private final long index;
  private final long term;
  private final EntryKind kind;
  private final DataSource source;
  private final int dataBytes;
  private final boolean onDisk;

  /** Supplies the data of an entry. */
  interface DataSource {

    /**
     * Returns the data.
     *
     * @throws java.io.UncheckedIOException if it cannot be read
     */
    byte[] read();
  }

  private LogEntry(
      long index, long term, EntryKind kind, DataSource source, int dataBytes, boolean onDisk) {
    Assert.isTrue(index > 0, "index must be at least 1");
    Assert.isTrue(term > 0, "term must be at least 1");
    this.index = index;
    this.term = term;
    this.kind = Assert.notNull(kind, "kind");
    this.source = Assert.notNull(source, "source");
    this.dataBytes = dataBytes;
    this.onDisk = onDisk;
  }

  /** Creates an entry. Index and term are at least 1. */
  public LogEntry(long index, long term, EntryKind kind, byte[] data) {
    this(index, term, kind, () -> data, Assert.notNull(data, "data").length, false);
  }

  /** Returns an equal entry that reads its data from a source with each call. */
  LogEntry withDataOnDisk(DataSource newSource) {
    return new LogEntry(index, term, kind, newSource, dataBytes, true);
  }

  /**
   * Returns this entry, or an equal one whose data has been read.
   *
   * @throws java.io.UncheckedIOException if the data is on disk and cannot be read
   */
  public LogEntry withDataInMemory() {
    return onDisk ? new LogEntry(index, term, kind, data()) : this;
  }

  /** Returns the log index, which starts at 1. */
  public long index() {
    return index;
  }

  /** Returns the term of the leader that created the entry. */
  public long term() {
    return term;
  }

  /** Returns the kind of the entry. */
  public EntryKind kind() {
    return kind;
  }

  /**
   * Returns the data, which must not be modified.
   *
   * @throws java.io.UncheckedIOException if the data is on disk and cannot be read
   */
  public byte[] data() {
    return source.read();
  }

  /** Returns the length of the data in bytes. */
  public int dataBytes() {
    return dataBytes;
  }

  /** Returns true if the data is not held in memory. */
  public boolean isDataOnDisk() {
    return onDisk;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof LogEntry entry
        && index == entry.index
        && term == entry.term
        && kind == entry.kind
        && Arrays.equals(data(), entry.data());
  }

  @Override
  public int hashCode() {
    return Objects.hash(index, term, kind, dataBytes);
  }

  @Override
  public String toString() {
    return kind + "@" + index + "/" + term;
  }
}
