package org.cornelspoke.daemon.consensus;

import org.cornelspoke.state.log.LogEntry;

/**
 * Decides when a snapshot is due: after a number of applied entries or bytes, whichever comes
 * first, but never before the log has grown by the size of the previous snapshot. The log on disk
 * and in memory and the amount written for snapshots are limited by that.
 */
final class SnapshotSchedule {

  private final long entriesBetweenSnapshots;
  private final long bytesBetweenSnapshots;
  private long snapshotIndex;
  private long snapshotBytes;
  private long appliedIndex;
  private long appliedBytes;

  SnapshotSchedule(ConsensusSettings settings) {
    this.entriesBetweenSnapshots = settings.entriesBetweenSnapshots();
    this.bytesBetweenSnapshots = settings.bytesBetweenSnapshots();
  }

  /** Records that an entry has been applied. */
  void onApplied(LogEntry entry) {
    appliedIndex = entry.index();
    appliedBytes += entry.dataBytes();
  }

  /** Records that a snapshot of the state at the index has been taken or restored. */
  void onSnapshot(long index, long sizeBytes) {
    snapshotIndex = index;
    snapshotBytes = sizeBytes;
    appliedIndex = index;
    appliedBytes = 0;
  }

  /** Returns true if a snapshot should be taken. */
  boolean isDue() {
    return appliedIndex - snapshotIndex >= entriesBetweenSnapshots
        || appliedBytes >= Math.max(bytesBetweenSnapshots, snapshotBytes);
  }
}
