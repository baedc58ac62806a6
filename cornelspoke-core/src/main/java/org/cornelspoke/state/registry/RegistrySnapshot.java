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
public record RegistrySnapshot(
    long version, long tombstoneFloor, List<Entry> entries, List<Departure> departures) {

  /** Copies the lists. */
  public RegistrySnapshot {
    entries = List.copyOf(entries);
    departures = List.copyOf(departures);
  }

  /** Creates a snapshot without departed processes. */
  public RegistrySnapshot(long version, long tombstoneFloor, List<Entry> entries) {
    this(version, tombstoneFloor, entries, List.of());
  }

  /** Returns this snapshot with the departed processes, the earliest first. */
  public RegistrySnapshot withDepartures(List<Departure> newDepartures) {
    return new RegistrySnapshot(version, tombstoneFloor, entries, newDepartures);
  }

  /**
   * A target or tombstone of a service, with the version of its last change.
   *
   * @param target empty for a removed target (tombstone)
   */
  public record Entry(ServiceName service, TargetId id, long version, Optional<Target> target) {}
}
