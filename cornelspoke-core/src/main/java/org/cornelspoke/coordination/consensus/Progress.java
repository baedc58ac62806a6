package org.cornelspoke.coordination.consensus;

import org.cornelspoke.state.log.Snapshot;

/** What the leader knows about one other member. */
final class Progress {

  /** How entries are sent. */
  enum Mode {
    /** One request at a time, until the matching index is known. */
    PROBE,
    /** Requests are sent without waiting for the answers. */
    REPLICATE,
    /** A snapshot is being sent, because the needed entries are gone. */
    SNAPSHOT
  }

  Mode mode = Mode.PROBE;
  long matchIndex;
  long nextIndex;
  long sentCommit;
  int inflight;
  boolean probeSent;
  long lastResponseNanos;
  long ackedRound;
  Snapshot snapshot;
  long snapshotOffset;
  long snapshotSentNanos;

  Progress(long nextIndex, long nowNanos) {
    this.nextIndex = nextIndex;
    this.lastResponseNanos = nowNanos;
  }

  void toProbe() {
    mode = Mode.PROBE;
    nextIndex = matchIndex + 1;
    probeSent = false;
    inflight = 0;
    snapshot = null;
  }

  void toReplicate() {
    mode = Mode.REPLICATE;
    nextIndex = matchIndex + 1;
    inflight = 0;
    snapshot = null;
  }
}
