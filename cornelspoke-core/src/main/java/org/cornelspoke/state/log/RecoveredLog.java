package org.cornelspoke.state.log;

import java.util.List;
import java.util.Optional;

/**
 * What a data folder held when it was opened. All of it is durable.
 *
 * @param entries the entries after the snapshot, without gaps
 */
public record RecoveredLog(
    MemberIdentity identity,
    HardState hardState,
    Optional<Snapshot> snapshot,
    List<LogEntry> entries) {}
