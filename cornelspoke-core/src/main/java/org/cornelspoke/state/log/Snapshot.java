package org.cornelspoke.state.log;

import org.cornelspoke.util.Assert;

/** State that replaces the log up to an index. The arrays are shared and must not be modified. */
public final class Snapshot {

  private final long index;
  private final long term;
  private final byte[] membership;
  private final byte[] data;

  /**
   * Creates a snapshot.
   *
   * @param index index of the last entry that the state includes
   * @param term term of that entry
   * @param membership encoded group membership as of that entry
   * @param data encoded state of the state machine
   */
  public Snapshot(long index, long term, byte[] membership, byte[] data) {
    Assert.isTrue(index > 0, "index must be at least 1");
    this.index = index;
    this.term = term;
    this.membership = Assert.notNull(membership, "membership");
    this.data = Assert.notNull(data, "data");
  }

  /** Returns the index of the last entry that the state includes. */
  public long index() {
    return index;
  }

  /** Returns the term of the last entry that the state includes. */
  public long term() {
    return term;
  }

  /** Returns the encoded membership. */
  public byte[] membership() {
    return membership;
  }

  /** Returns the encoded state of the state machine. */
  public byte[] data() {
    return data;
  }
}
