package org.cornelspoke.state.registry;

import java.util.List;
import java.util.Optional;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;

/**
 * The whole of a {@link Registry}, for snapshots and comparison.
 *
 * @param entries in order of version
 */
public record RegistryImage(long version, long tombstoneFloor, List<Entry> entries) {

  /** Copies the list. */
  public RegistryImage {
    entries = List.copyOf(entries);
  }

  /**
   * A target of a service with the version of its last change.
   *
   * @param target empty if the service no longer has the target
   */
  public record Entry(ServiceName service, TargetId id, long version, Optional<Target> target) {}
}
