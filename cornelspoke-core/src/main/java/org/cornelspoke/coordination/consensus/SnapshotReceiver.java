package org.cornelspoke.coordination.consensus;

import org.cornelspoke.state.log.Snapshot;

/** Assembles the chunks of one snapshot; a chunk of another snapshot restarts the transfer. */
final class SnapshotReceiver {

  private long index;
  private long term;
  private byte[] buffer;
  private int receivedBytes;

  /** Adds a chunk and returns the snapshot if it is complete, otherwise null. */
  Snapshot add(SnapshotChunk chunk) {
    boolean sameSnapshot =
        buffer != null
            && chunk.index() == index
            && chunk.term() == term
            && chunk.totalBytes() == buffer.length;
    if (!sameSnapshot) {
      index = chunk.index();
      term = chunk.term();
      buffer = new byte[Math.toIntExact(chunk.totalBytes())];
      receivedBytes = 0;
    }
    if (chunk.offsetBytes() == receivedBytes) {
      System.arraycopy(chunk.data(), 0, buffer, receivedBytes, chunk.data().length);
      receivedBytes += chunk.data().length;
    }
    if (receivedBytes < buffer.length) {
      return null;
    }
    Snapshot snapshot = new Snapshot(index, term, chunk.membership(), buffer);
    clear();
    return snapshot;
  }

  int nextOffsetBytes() {
    return receivedBytes;
  }

  void clear() {
    buffer = null;
    receivedBytes = 0;
    index = 0;
  }
}
