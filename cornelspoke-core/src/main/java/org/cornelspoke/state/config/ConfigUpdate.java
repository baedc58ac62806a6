package org.cornelspoke.state.config;

import java.util.List;
import org.cornelspoke.model.Revision;

/** Update that brings a copy of the configuration to a later revision. */
public sealed interface ConfigUpdate {

  /** Returns the revision of a copy to which the update has been applied. */
  Revision to();

  /**
   * All entities that changed after {@code from}, with their values at {@code to}. Can be applied
   * to a copy of any revision between {@code from} and {@code to}.
   *
   * @param live entities that exist at {@code to}
   * @param removed entities that do not exist at {@code to}
   */
  record Delta(Revision from, Revision to, List<ConfigEntity> live, List<EntityId> removed)
      implements ConfigUpdate {

    /** Copies the lists. */
    public Delta {
      live = List.copyOf(live);
      removed = List.copyOf(removed);
    }
  }

  /** The complete configuration at a revision. */
  record Full(Revision to, List<ConfigEntity> live) implements ConfigUpdate {

    /** Copies the list. */
    public Full {
      live = List.copyOf(live);
    }
  }
}
