package org.cornelspoke.state.config;

import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.util.Assert;

/**
 * States that a data centre is evacuated: no requests are sent to the upstreams there. It exists
 * from the order until the restoration.
 *
 * @param startedAtMillis wall-clock time of the order in milliseconds since the epoch; for
 *     operators only, no decision depends on it
 */
public record DataCentreEvacuation(DataCentreId dataCentre, long startedAtMillis)
    implements ConfigEntity {

  /** Checks that the data centre is present. */
  public DataCentreEvacuation {
    Assert.notNull(dataCentre, "dataCentre");
  }

  /** Returns the id of the evacuation of a data centre. */
  public static EntityId idOf(DataCentreId dataCentre) {
    return new EntityId(EntityKind.DATA_CENTRE_EVACUATION, dataCentre.value());
  }

  @Override
  public EntityId entityId() {
    return idOf(dataCentre);
  }
}
