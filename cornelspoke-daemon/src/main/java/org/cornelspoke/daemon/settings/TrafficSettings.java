package org.cornelspoke.daemon.settings;

import java.util.List;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;

/**
 * Settings of a traffic daemon.
 *
 * @param edgeAddress accepts callers, and nested calls of the upstream
 * @param linkAddress accepts links from other daemons
 * @param localAddress accepts announcements of the upstream; a loopback address
 * @param controlEndpoints relay addresses of control daemons, in order of preference
 * @param freshnessBoundMillis longest time without proof that the configuration is current
 * @param staleKeys what happens to requests with a key after that time
 * @param shareWaitMillis longest wait for spare rate capacity
 * @param maxBodyBytes largest request body that the edge accepts
 */
public record TrafficSettings(
    DaemonId daemonId,
    DataCentreId dataCentre,
    Endpoint edgeAddress,
    Endpoint linkAddress,
    Endpoint localAddress,
    Endpoint adminAddress,
    List<Endpoint> controlEndpoints,
    long freshnessBoundMillis,
    StaleKeys staleKeys,
    long shareWaitMillis,
    int maxBodyBytes,
    LogSettings log)
    implements DaemonSettings {

  /** Copies the list. */
  public TrafficSettings {
    controlEndpoints = List.copyOf(controlEndpoints);
  }
}
