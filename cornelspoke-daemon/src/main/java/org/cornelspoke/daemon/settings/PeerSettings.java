package org.cornelspoke.daemon.settings;

import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;

/** Id and addresses of another control VM. */
public record PeerSettings(
    VmId vmId, Endpoint peerAddress, Endpoint relayAddress, Endpoint adminAddress) {}
