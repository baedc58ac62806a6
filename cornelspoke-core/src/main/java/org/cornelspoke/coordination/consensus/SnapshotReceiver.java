package org.cornelspoke.coordination.consensus;

import org.cornelspoke.state.log.Snapshot;

/** Assembles the chunks of one snapshot. A chunk of another snapshot starts again. */
final class SnapshotReceiver {

  private long index;
  private long term;
  private byte[] buffer;
  private int filled;

  /** Adds a chunk and returns the whole snapshot if this was the missing part, otherwise null. */
  Snapshot add(SnapshotChunk chunk) {
    boolean same =
        buffer != null
            && chunk.index() == index
            && chunk.term() == term
            && chunk.totalBytes() == buffer.length;
    if (!same) {
      index = chunk.index();
      term = chunk.term();
      buffer = new byte[Math.toIntExact(chunk.totalBytes())];
      filled = 0;
    }
    if (chunk.offsetBytes() == filled) {
      System.arraycopy(chunk.data(), 0, buffer, filled, chunk.data().length);
      filled += chunk.data().length;
    }
    if (filled < buffer.length) {
      return null;
    }
    Snapshot whole = new Snapshot(index, term, chunk.membership(), buffer);
    clear();
    return whole;
  }

  int nextOffset() {
    return filled;
  }

  void clear() {
    buffer = null;
    filled = 0;
    index = 0;
  }
}
