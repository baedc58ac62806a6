package org.cornelspoke.state.config;

import org.cornelspoke.util.Assert;

/** Identifies a configuration entity by its kind and its name, which is unique within the kind. */
public record EntityId(EntityKind kind, String name) {

  /** Checks that both components are present. */
  public EntityId {
    Assert.notNull(kind, "kind");
    Assert.hasText(name, "name");
  }

  @Override
  public String toString() {
    return kind + "/" + name;
  }
}
