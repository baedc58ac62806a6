package org.cornelspoke.coordination.consensus;

import org.cornelspoke.state.log.Snapshot;

/** Replication state of one other member, kept by the leader. */
final class Progress {

  /** Replication mode. */
  enum Mode {
    /** One append request per heartbeat until the matching index is known. */
    PROBE,
    /** Append requests are pipelined without waiting for replies. */
    REPLICATE,
    /** A snapshot is being sent because the log no longer holds the needed entries. */
    SNAPSHOT
  }

  Mode mode = Mode.PROBE;
  long matchIndex;
  long nextIndex;
  long sentCommitIndex;
  int inflightAppends;
  boolean probeSent;
  long lastResponseAtNanos;
  long acknowledgedRound;
  Snapshot snapshot;
  long snapshotOffsetBytes;
  long snapshotSentAtNanos;

  /**
   * Last index that was in the member's log when it first reported entries as received but not
   * durable, or 0; later entries count as in flight.
   */
  long receivedBaseIndex;

  Progress(long nextIndex, long nowNanos) {
    this.nextIndex = nextIndex;
    this.lastResponseAtNanos = nowNanos;
  }

  void switchToProbe() {
    mode = Mode.PROBE;
    nextIndex = matchIndex + 1;
    probeSent = false;
    inflightAppends = 0;
    snapshot = null;
  }

  /** Continues after the entries that the member has received but not made durable. */
  void switchToReplicateAfter(long receivedIndex) {
    if (receivedBaseIndex == 0 || mode == Mode.SNAPSHOT) {
      receivedBaseIndex = receivedIndex;
    }
    switchToReplicate();
    nextIndex = receivedIndex + 1;
  }

  void switchToReplicate() {
    mode = Mode.REPLICATE;
    nextIndex = matchIndex + 1;
    inflightAppends = 0;
    snapshot = null;
  }
}
