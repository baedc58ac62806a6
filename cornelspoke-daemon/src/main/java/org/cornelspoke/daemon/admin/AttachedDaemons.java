package org.cornelspoke.daemon.admin;

import java.util.List;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.VmId;

/**
 * The daemons that are attached to the control VMs.
 *
 * @param daemons the daemons of every relay that answered
 * @param missingRelays control VMs that did not answer; their daemons are not in the list
 */
public record AttachedDaemons(List<DaemonStatus> daemons, List<VmId> missingRelays) {

  /** Copies the lists. */
  public AttachedDaemons {
    daemons = List.copyOf(daemons);
    missingRelays = List.copyOf(missingRelays);
  }

  /**
   * What a relay knows of a daemon.
   *
   * @param appliedRevision the configuration revision that the daemon last reported
   * @param freshnessAgeMillis time since the moment for which the daemon last proved freshness
   * @param relay the control VM to which the daemon is attached
   */
  public record DaemonStatus(
      DaemonId id,
      DataCentreId dataCentre,
      Revision appliedRevision,
      long freshnessAgeMillis,
      VmId relay) {}
}
