package org.cornelspoke.state.registry;

import java.util.List;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;

/**
 * Update that brings a copy of a service's targets to a later registry version.
 *
 * @param full true if {@code live} is the complete target list, which replaces the copy
 */
public record RegistryUpdate(
    ServiceName service,
    long fromVersion,
    long toVersion,
    boolean full,
    List<Target> live,
    List<TargetId> removed) {

  /** Copies the lists. */
  public RegistryUpdate {
    live = List.copyOf(live);
    removed = List.copyOf(removed);
  }
}
