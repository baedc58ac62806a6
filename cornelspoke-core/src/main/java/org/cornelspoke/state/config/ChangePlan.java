package org.cornelspoke.state.config;

import java.util.List;
import java.util.Optional;

/**
 * Effect of a change on the stored entities, or the rule that the change violates.
 *
 * @param entity entity that the audit entry of the change names
 * @param put entities to create or replace
 * @param removed entities to delete
 * @param rule the violated rule; empty if the change is valid
 * @param conflict true if the change is based on a version that is not current
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

  /** Returns the plan of a change that is accepted but finds the entity as it should be. */
  static ChangePlan unchanged(EntityId entity) {
    return new ChangePlan(entity, List.of(), List.of(), Optional.empty());
  }

  static ChangePlan rejected(EntityId entity, String rule) {
    return new ChangePlan(entity, List.of(), List.of(), Optional.of(rule));
  }

  static ChangePlan conflict(EntityId entity, String rule) {
    return new ChangePlan(entity, List.of(), List.of(), Optional.of(rule), true);
  }
}
