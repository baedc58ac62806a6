package org.cornelspoke.state.registry;

import java.util.List;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;

/**
 * What brings a copy of a service's targets to a later registry version.
 *
 * @param full true if the copy must drop what it has first
 */
public record RegistryUpdate(
    ServiceName service,
    long from,
    long to,
    boolean full,
    List<Target> live,
    List<TargetId> removed) {

  /** Copies the lists. */
  public RegistryUpdate {
    live = List.copyOf(live);
    removed = List.copyOf(removed);
  }
}
