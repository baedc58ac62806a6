package org.cornelspoke.daemon.relay;

import java.util.List;
import java.util.Set;
import org.cornelspoke.coordination.dissemination.DaemonStatus;
import org.cornelspoke.model.VmId;

/**
 * The attached daemons of all relays that replied. A daemon that is changing relays may be listed
 * twice.
 *
 * @param missingRelays relays that did not reply in time; their daemons are not listed
 */
public record DaemonListing(List<DaemonStatus> daemons, Set<VmId> missingRelays) {}
