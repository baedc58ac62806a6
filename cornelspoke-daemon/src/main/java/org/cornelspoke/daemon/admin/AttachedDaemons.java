package org.cornelspoke.daemon.admin;

import java.util.List;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.VmId;

/**
 * The daemons that are connected to the relays of the control VMs.
 *
 * @param daemons daemons of every relay that replied
 * @param missingRelays control VMs whose relay did not reply; their daemons are not in the list
 */
public record AttachedDaemons(List<DaemonStatus> daemons, List<VmId> missingRelays) {

  /** Makes unmodifiable copies of the lists. */
  public AttachedDaemons {
    daemons = List.copyOf(daemons);
    missingRelays = List.copyOf(missingRelays);
  }

  /**
   * Status of a daemon as known to its relay.
   *
   * @param appliedRevision configuration revision that the daemon last reported as applied
   * @param freshnessAgeMillis time since the last instant at which the daemon's configuration was
   *     proved current
   * @param relay control VM to whose relay the daemon is connected
   */
  public record DaemonStatus(
      DaemonId id,
      DataCentreId dataCentre,
      Revision appliedRevision,
      long freshnessAgeMillis,
      VmId relay) {}
}
