package org.cornelspoke.state.config;

import java.util.List;
import java.util.Optional;

/**
 * What a change does to the entities, or the rule that it breaks.
 *
 * @param entity the entity that the audit trail names
 * @param rule the broken rule; empty if the change is allowed
 * @param conflict true if the rule is that the change builds on what is no longer in force
 */
record ChangePlan(
    EntityId entity,
    List<ConfigEntity> put,
    List<EntityId> removed,
    Optional<String> rule,
    boolean conflict) {

  ChangePlan(
      EntityId entity, List<ConfigEntity> put, List<EntityId> removed, Optional<String> rule) {
    this(entity, put, removed, rule, false);
  }

  static ChangePlan put(ConfigEntity value) {
    return new ChangePlan(value.entityId(), List.of(value), List.of(), Optional.empty());
  }

  static ChangePlan remove(EntityId entity, List<EntityId> removed) {
    return new ChangePlan(entity, List.of(), removed, Optional.empty());
  }

  static ChangePlan rejected(EntityId entity, String rule) {
    return new ChangePlan(entity, List.of(), List.of(), Optional.of(rule));
  }

  static ChangePlan conflict(EntityId entity, String rule) {
    return new ChangePlan(entity, List.of(), List.of(), Optional.of(rule), true);
  }
}
