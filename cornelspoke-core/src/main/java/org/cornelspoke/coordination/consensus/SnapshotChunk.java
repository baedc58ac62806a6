package org.cornelspoke.coordination.consensus;

import org.cornelspoke.util.Assert;

/** One chunk of a snapshot. The arrays are shared and must not be changed. */
public final class SnapshotChunk {

  private final long index;
  private final long term;
  private final byte[] membership;
  private final long totalBytes;
  private final long offsetBytes;
  private final byte[] data;

  /** Creates a chunk of the snapshot at the given index and term. */
  public SnapshotChunk(
      long index, long term, byte[] membership, long totalBytes, long offsetBytes, byte[] data) {
    Assert.isTrue(
        offsetBytes >= 0 && offsetBytes + data.length <= totalBytes,
        "chunk must lie within the snapshot");
    this.index = index;
    this.term = term;
    this.membership = membership;
    this.totalBytes = totalBytes;
    this.offsetBytes = offsetBytes;
    this.data = data;
  }

  /** Returns the index of the last entry in the snapshot. */
  public long index() {
    return index;
  }

  /** Returns the term of the last entry in the snapshot. */
  public long term() {
    return term;
  }

  /** Returns the encoded membership at that entry. */
  public byte[] membership() {
    return membership;
  }

  /** Returns the size of the snapshot's data. */
  public long totalBytes() {
    return totalBytes;
  }

  /** Returns the offset of this chunk in the snapshot's data. */
  public long offsetBytes() {
    return offsetBytes;
  }

  /** Returns the content of this chunk. */
  public byte[] data() {
    return data;
  }
}
