package org.cornelspoke.state.log;

import java.util.List;
import java.util.Optional;

/**
 * Data of a folder at the time it was opened. All of it is durable.
 *
 * @param entries contiguous entries that follow the snapshot; the data of large ones remains on
 *     disk and can be read until a snapshot is stored that covers them
 */
public record RecoveredLog(
    MemberIdentity identity,
    HardState hardState,
    Optional<Snapshot> snapshot,
    List<LogEntry> entries) {}
