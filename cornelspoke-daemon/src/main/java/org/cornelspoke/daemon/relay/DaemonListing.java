package org.cornelspoke.daemon.relay;

import java.util.List;
import java.util.Set;
import org.cornelspoke.coordination.dissemination.DaemonStatus;
import org.cornelspoke.model.VmId;

/**
 * The attached daemons of the fleet. A daemon that moves may be listed by two relays.
 *
 * @param missingRelays relays that did not answer; their daemons are not listed
 */
public record DaemonListing(List<DaemonStatus> daemons, Set<VmId> missingRelays) {}
