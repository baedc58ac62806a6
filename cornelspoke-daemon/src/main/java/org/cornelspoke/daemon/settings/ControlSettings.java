package org.cornelspoke.daemon.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;

/**
 * Settings of a control daemon.
 *
 * @param relayAddress accepts traffic daemons
 * @param peerAddress accepts other control VMs
 * @param dataFolder holds the durable log and snapshots; a relative path starts at the working
 *     directory of the process
 * @param peers the other control VMs; empty for a group of one
 * @param formation how this VM gets into its group
 * @param bootstrapOperator the first operator of a new control group; without effect once the group
 *     has a configuration
 */
public record ControlSettings(
    VmId vmId,
    DataCentreId dataCentre,
    Endpoint relayAddress,
    Endpoint peerAddress,
    Endpoint adminAddress,
    Path dataFolder,
    List<PeerSettings> peers,
    GroupFormation formation,
    Optional<BootstrapOperator> bootstrapOperator,
    LogSettings log)
    implements DaemonSettings {

  /** Copies the list. */
  public ControlSettings {
    peers = List.copyOf(peers);
  }
}
