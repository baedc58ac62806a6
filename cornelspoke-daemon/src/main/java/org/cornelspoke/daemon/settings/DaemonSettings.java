package org.cornelspoke.daemon.settings;

import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;

/** Settings common to both roles. Implementations are immutable. */
public sealed interface DaemonSettings permits TrafficSettings, ControlSettings {

  /** Returns the data centre in which the process runs. */
  DataCentreId dataCentre();

  /** Returns the address of metrics, health and, on a control daemon, the administration API. */
  Endpoint adminAddress();

  /** Returns the format and the minimum level of the log. */
  LogSettings log();
}
