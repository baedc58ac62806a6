package org.cornelspoke.state.log;

import java.util.Arrays;
import java.util.Objects;
import org.cornelspoke.util.Assert;

/** One entry of the replicated log. The data array is shared and must not be modified. */
public final class LogEntry {

  private final long index;
  private final long term;
  private final EntryKind kind;
  private final byte[] data;

  /** Creates an entry. Index and term are at least 1. */
  public LogEntry(long index, long term, EntryKind kind, byte[] data) {
    Assert.isTrue(index > 0, "index must be at least 1");
    Assert.isTrue(term > 0, "term must be at least 1");
    this.index = index;
    this.term = term;
    this.kind = Assert.notNull(kind, "kind");
    this.data = Assert.notNull(data, "data");
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

  /** Returns the data, which must not be modified. */
  public byte[] data() {
    return data;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof LogEntry entry
        && index == entry.index
        && term == entry.term
        && kind == entry.kind
        && Arrays.equals(data, entry.data);
  }

  @Override
  public int hashCode() {
    return Objects.hash(index, term, kind, Arrays.hashCode(data));
  }

  @Override
  public String toString() {
    return kind + "@" + index + "/" + term;
  }
}
