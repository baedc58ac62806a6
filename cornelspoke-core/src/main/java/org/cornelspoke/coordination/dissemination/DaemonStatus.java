package org.cornelspoke.coordination.dissemination;

import java.util.Optional;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.VmId;

/**
 * An attached daemon as its relay sees it.
 *
 * @param appliedRevision the revision that the daemon had when it asked for freshness last
 * @param freshnessAgeMillis age of the daemon's proof of freshness; empty if it never had one
 */
public record DaemonStatus(
    DaemonId daemon,
    DataCentreId dataCentre,
    VmId relay,
    Revision appliedRevision,
    Optional<Long> freshnessAgeMillis) {}
