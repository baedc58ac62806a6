package org.cornelspoke.state.quarantine;

import java.util.List;

/**
 * Complete state of a {@link QuarantineTable}, for snapshots.
 *
 * @param floor version up to which held or blocked entries may have been dropped
 * @param entries in the order of their versions
 */
public record QuarantineSnapshot(
    long version, long floor, long timestampMillis, List<QuarantineEntry> entries) {

  /** State of an empty table. */
  public static final QuarantineSnapshot EMPTY = new QuarantineSnapshot(0, 0, 0, List.of());

  /** Copies the list. */
  public QuarantineSnapshot {
    entries = List.copyOf(entries);
  }
}
