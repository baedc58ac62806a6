package org.cornelspoke.coordination.dissemination;

import java.util.Optional;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.VmId;

/**
 * The state of an attached daemon as known to its relay.
 *
 * @param appliedRevision the revision that the daemon reported in its last freshness query
 * @param freshnessAgeMillis age of the daemon's freshness proof; empty if it never had one
 */
public record DaemonStatus(
    DaemonId daemon,
    DataCentreId dataCentre,
    VmId relay,
    Revision appliedRevision,
    Optional<Long> freshnessAgeMillis) {}
