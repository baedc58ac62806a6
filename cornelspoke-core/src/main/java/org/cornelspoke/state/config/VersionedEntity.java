package org.cornelspoke.state.config;

import java.util.Optional;
import org.cornelspoke.model.Revision;
import org.cornelspoke.util.Assert;

/**
 * An entity with the revision of its last change.
 *
 * @param value empty for a deleted entity (tombstone)
 */
public record VersionedEntity(EntityId id, Revision revision, Optional<ConfigEntity> value) {

  /** Checks that the value, if present, has the id. */
  public VersionedEntity {
    Assert.notNull(revision, "revision");
    Assert.isTrue(
        value.isEmpty() || value.get().entityId().equals(id), "value must have the entity's id");
  }

  /** Returns true if the entity was deleted. */
  public boolean isTombstone() {
    return value.isEmpty();
  }
}
