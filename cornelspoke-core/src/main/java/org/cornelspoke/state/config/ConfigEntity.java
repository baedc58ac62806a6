package org.cornelspoke.state.config;

/** One versioned part of the configuration. Implementations are immutable. */
public sealed interface ConfigEntity
    permits Account,
        ClientKey,
        Route,
        Preset,
        ActivePreset,
        ContextSecret,
        Operator,
        RoutingDocument {

  /** Returns the identity under which the entity is stored. */
  EntityId entityId();
}
