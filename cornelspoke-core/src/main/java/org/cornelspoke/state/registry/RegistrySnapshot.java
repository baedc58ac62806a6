package org.cornelspoke.state.registry;

import java.util.List;
import java.util.Optional;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;

/**
 * Complete state of a {@link Registry}, for snapshots and comparison.
 *
 * @param tombstoneFloor highest version whose tombstone was evicted
 * @param entries in order of version
 */
public record RegistrySnapshot(long version, long tombstoneFloor, List<Entry> entries) {

  /** Copies the list. */
  public RegistrySnapshot {
    entries = List.copyOf(entries);
  }

  /**
   * A target or tombstone of a service, with the version of its last change.
   *
   * @param target empty for a removed target (tombstone)
   */
  public record Entry(ServiceName service, TargetId id, long version, Optional<Target> target) {}
}
