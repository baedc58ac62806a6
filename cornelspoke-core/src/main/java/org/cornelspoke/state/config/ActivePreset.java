package org.cornelspoke.state.config;

import org.cornelspoke.model.PresetName;
import org.cornelspoke.util.Assert;

/** Names the one preset in force. There is exactly one entity of this kind. */
public record ActivePreset(PresetName name) implements ConfigEntity {

  /** The name under which the only entity of this kind is stored. */
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
