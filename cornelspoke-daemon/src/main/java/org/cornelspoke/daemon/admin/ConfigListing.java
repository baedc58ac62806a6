package org.cornelspoke.daemon.admin;

import java.util.List;
import org.cornelspoke.model.Revision;
import org.cornelspoke.state.config.ConfigEntity;

/**
 * The configuration entities, as returned by a linearizable read.
 *
 * @param revision configuration revision at the time of the read
 * @param index log index at which the state was read
 * @param entities every existing entity
 */
public record ConfigListing(Revision revision, long index, List<VersionedEntity> entities) {

  /** Makes an unmodifiable copy of the list. */
  public ConfigListing {
    entities = List.copyOf(entities);
  }

  /**
   * An entity with its revision.
   *
   * @param revision revision that last changed the entity; at most the revision of the read
   */
  public record VersionedEntity(Revision revision, ConfigEntity entity) {}
}
