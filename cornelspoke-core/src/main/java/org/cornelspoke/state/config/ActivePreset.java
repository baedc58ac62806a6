package org.cornelspoke.state.config;

import org.cornelspoke.model.PresetName;
import org.cornelspoke.util.Assert;

/** Names the active preset. Exactly one entity of this kind exists. */
public record ActivePreset(PresetName name) implements ConfigEntity {

  /** Id of the only entity of this kind. */
  public static final EntityId ID = new EntityId(EntityKind.ACTIVE_PRESET, "active");

  /** Checks that the name is present. */
  public ActivePreset {
    Assert.notNull(name, "name");
  }

  @Override
  public EntityId entityId() {
    return ID;
  }
}
