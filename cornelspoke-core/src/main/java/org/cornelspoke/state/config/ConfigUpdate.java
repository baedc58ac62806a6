package org.cornelspoke.state.config;

import java.util.List;
import org.cornelspoke.model.Revision;

/** What brings a copy of the configuration to a later revision. */
public sealed interface ConfigUpdate {

  /** Returns the revision of a copy after it has applied the update. */
  Revision to();

  /**
   * Every entity that changed after a revision, with its value at a later one. It may be applied to
   * a copy of any revision from {@code from} to {@code to}.
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

  /** The whole configuration at a revision. */
  record Full(Revision to, List<ConfigEntity> live) implements ConfigUpdate {

    /** Copies the list. */
    public Full {
      live = List.copyOf(live);
    }
  }
}
