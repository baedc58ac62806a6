package org.cornelspoke.daemon.admin;

import java.util.List;
import org.cornelspoke.model.Revision;
import org.cornelspoke.state.config.ConfigEntity;

/**
 * The configuration at one revision.
 *
 * @param revision the current revision
 * @param index log index at which the read was proved current
 * @param entities every live entity
 */
public record ConfigRead(Revision revision, long index, List<VersionedEntity> entities) {

  /** Copies the list. */
  public ConfigRead {
    entities = List.copyOf(entities);
  }

  /**
   * One entity and the revision that last changed it.
   *
   * @param revision at most the revision of the read
   */
  public record VersionedEntity(Revision revision, ConfigEntity entity) {}
}
