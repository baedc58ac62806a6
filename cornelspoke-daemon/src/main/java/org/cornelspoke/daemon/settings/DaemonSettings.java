package org.cornelspoke.daemon.settings;

import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;

/** What the settings of both roles have in common. Implementations are immutable. */
public sealed interface DaemonSettings permits TrafficSettings, ControlSettings {

  /** Returns the data centre in which the process runs. */
  DataCentreId dataCentre();

  /** Returns the address of metrics, and of the administration API of a control daemon. */
  Endpoint adminAddress();

  /** Returns how and from which level on the process logs. */
  LogSettings log();
}
