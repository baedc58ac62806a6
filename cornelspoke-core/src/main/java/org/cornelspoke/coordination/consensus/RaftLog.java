package org.cornelspoke.coordination.consensus;

import java.util.ArrayList;
import java.util.List;
import org.cornelspoke.state.log.LogEntry;

/** In-memory log: the entries after the base index, and the term at the base index. */
final class RaftLog {

  /** Encoded size of an entry without its data: term, kind and lengths, rounded up. */
  private static final int ENTRY_OVERHEAD_BYTES = 20;

  private final List<LogEntry> entries = new ArrayList<>();

  /** For each entry, the total size of all entries ever appended up to and including it. */
  private final List<Long> endBytes = new ArrayList<>();

  private long baseEndBytes;
  private long baseIndex;
  private long baseTerm;

  RaftLog(long baseIndex, long baseTerm, List<LogEntry> entries) {
    this.baseIndex = baseIndex;
    this.baseTerm = baseTerm;
    entries.forEach(this::append);
  }

  /** Returns the index of the entry before the first retained one. */
  long baseIndex() {
    return baseIndex;
  }

  long lastIndex() {
    return baseIndex + entries.size();
  }

  long lastTerm() {
    return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term();
  }

  /** Returns the term at the index, or -1 if the index is before the base or after the end. */
  long termAt(long index) {
    if (index == baseIndex) {
      return baseTerm;
    }
    if (index < baseIndex || index > lastIndex()) {
      return -1;
    }
    return entry(index).term();
  }

  LogEntry entry(long index) {
    return entries.get((int) (index - baseIndex - 1));
  }

  boolean matches(long index, long term) {
    return termAt(index) == term;
  }

  /** Returns true if a log that ends at the index and term is at least as up to date as this. */
  boolean isUpToDate(long candidateLastIndex, long candidateLastTerm) {
    return candidateLastTerm > lastTerm()
        || (candidateLastTerm == lastTerm() && candidateLastIndex >= lastIndex());
  }

  void append(LogEntry entry) {
    if (entry.index() != lastIndex() + 1) {
      throw new IllegalStateException("entry " + entry + " does not follow " + lastIndex());
    }
    endBytes.add(endBytesAt(lastIndex()) + sizeBytes(entry));
    entries.add(entry);
  }

  void truncateFrom(long index) {
    entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
    endBytes.subList(entries.size(), endBytes.size()).clear();
  }

  /**
   * Returns the size of the retained entries after the first index, up to and including the second
   * one.
   */
  long bytesBetween(long fromIndex, long toIndex) {
    return endBytesAt(Math.max(toIndex, baseIndex)) - endBytesAt(Math.max(fromIndex, baseIndex));
  }

  /**
   * Removes the entries that a durable snapshot covers, except the last ones in memory, which are
   * kept for members that lag.
   */
  void compact(long snapshotIndex, RaftSettings settings) {
    long firstKept = snapshotIndex - settings.trailingEntries();
    long base = snapshotIndex;
    while (base > Math.max(baseIndex, firstKept)
        && !entry(base).isDataOnDisk()
        && bytesBetween(base - 1, snapshotIndex) <= settings.trailingBytes()) {
      base--;
    }
    removeUpTo(base);
  }

  /** Returns the index of the last entry whose data is on disk, or the base index. */
  long lastIndexOnDisk() {
    long index = lastIndex();
    while (index > baseIndex && !entry(index).isDataOnDisk()) {
      index--;
    }
    return index;
  }

  void removeUpTo(long index) {
    if (index > baseIndex) {
      baseTerm = termAt(index);
      baseEndBytes = endBytesAt(index);
      entries.subList(0, (int) (index - baseIndex)).clear();
      endBytes.subList(0, (int) (index - baseIndex)).clear();
      baseIndex = index;
    }
  }

  void reset(long index, long term) {
    entries.clear();
    endBytes.clear();
    baseIndex = index;
    baseTerm = term;
  }

  /**
   * Returns the entries from the index on, at least one if any, up to about the given size. Their
   * data is in memory.
   */
  List<LogEntry> slice(long from, int maxBytes) {
    List<LogEntry> result = new ArrayList<>();
    long bytes = 0;
    for (long i = from; i <= lastIndex(); i++) {
      LogEntry entry = entry(i);
      bytes += sizeBytes(entry);
      if (!result.isEmpty() && bytes > maxBytes) {
        break;
      }
      result.add(entry.withDataInMemory());
    }
    return result;
  }

  /** Returns the first of the consecutive entries with the same term as the given index. */
  long firstIndexOfTermAt(long index) {
    long term = termAt(index);
    long first = index;
    while (first - 1 > baseIndex && termAt(first - 1) == term) {
      first--;
    }
    return first;
  }

  /** Returns the last index at or before the limit whose term is at most the given one. */
  long lastIndexWithTermAtMost(long limit, long term) {
    long index = Math.min(limit, lastIndex());
    while (index > baseIndex && termAt(index) > term) {
      index--;
    }
    return index;
  }

  private long endBytesAt(long index) {
    return index == baseIndex ? baseEndBytes : endBytes.get((int) (index - baseIndex - 1));
  }

  private static long sizeBytes(LogEntry entry) {
    return (long) entry.dataBytes() + ENTRY_OVERHEAD_BYTES;
  }
}
