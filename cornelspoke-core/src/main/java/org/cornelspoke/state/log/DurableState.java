package org.cornelspoke.state.log;

import java.util.List;

/**
 * What a log folder must hold at least.
 *
 * @param hardState oldest possible term, with the vote in it
 * @param lastIndex lowest possible index of the last entry
 * @param snapshotIndex lowest possible index of the snapshot, or 0 if there may be none
 */
public record DurableState(HardState hardState, long lastIndex, long snapshotIndex) {

  /** Returns the state of a folder that was read. */
  public static DurableState of(RecoveredLog log) {
    long snapshotIndex = log.snapshot().map(Snapshot::index).orElse(0L);
    List<LogEntry> entries = log.entries();
    long lastIndex = entries.isEmpty() ? snapshotIndex : entries.get(entries.size() - 1).index();
    return new DurableState(log.hardState(), lastIndex, snapshotIndex);
  }

  /** Checks that a folder with the given state has lost nothing of this state. */
  void checkHeldBy(DurableState found) throws DamagedStorageException {
    if (found.hardState.term() < hardState.term()
        || (found.hardState.term() == hardState.term()
            && hardState.vote().isPresent()
            && !hardState.vote().equals(found.hardState.vote()))) {
      throw new DamagedStorageException(
          FileNames.META, 0, "has " + found.hardState + " in place of " + hardState);
    }
    if (found.snapshotIndex < snapshotIndex) {
      throw new DamagedStorageException(
          FileNames.snapshot(snapshotIndex), 0, "the snapshot is gone");
    }
    if (found.lastIndex < lastIndex) {
      throw new DamagedStorageException(
          FileNames.ALL_SEGMENTS,
          0,
          "ends at entry " + found.lastIndex + " in place of " + lastIndex);
    }
  }
}
