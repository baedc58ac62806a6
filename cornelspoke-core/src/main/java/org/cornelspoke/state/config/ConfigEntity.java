package org.cornelspoke.state.config;

/** A versioned entity of the configuration. Implementations are immutable. */
public sealed interface ConfigEntity
    permits Account,
        ClientKey,
        Route,
        Preset,
        ActivePreset,
        ContextSecret,
        Operator,
        RoutingDocument,
        ServicePolicy,
        DataCentreEvacuation {

  /** Returns the id under which the entity is stored. */
  EntityId entityId();
}
