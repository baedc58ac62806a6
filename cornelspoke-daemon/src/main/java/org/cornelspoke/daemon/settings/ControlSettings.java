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
 * @param relayAddress address on which the relay accepts connections of traffic daemons
 * @param peerAddress address on which connections of other control VMs are accepted
 * @param dataFolder directory of the durable log and snapshots; a relative path is resolved against
 *     the working directory of the process
 * @param peers the other control VMs; empty for a single-member group
 * @param formation how this VM becomes a member of its control group
 * @param targetVoters number of voters that the leader maintains; unused if operators make the
 *     changes
 * @param bootstrapOperator first operator of a new control group; ignored once the group has a
 *     configuration
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
    int targetVoters,
    Optional<BootstrapOperator> bootstrapOperator,
    LogSettings log)
    implements DaemonSettings {

  /** Voters of a group that bears the loss of two. */
  public static final int DEFAULT_TARGET_VOTERS = 5;

  /** Makes an unmodifiable copy of the list. */
  public ControlSettings {
    peers = List.copyOf(peers);
  }
}
