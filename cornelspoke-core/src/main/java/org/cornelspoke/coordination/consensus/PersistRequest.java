package org.cornelspoke.coordination.consensus;

import java.util.List;
import java.util.Optional;
import org.cornelspoke.state.log.HardState;
import org.cornelspoke.state.log.LogEntry;
import org.cornelspoke.state.log.Snapshot;

/**
 * Data to make durable. Requests are carried out in the order of their sequence numbers.
 *
 * @param hardState term and vote, if they changed
 * @param entries entries to append; they replace existing entries from the first index on
 * @param snapshot a snapshot to store
 * @param installed true if the snapshot came from the leader and replaces all entries
 */
public record PersistRequest(
    long sequence,
    Optional<HardState> hardState,
    List<LogEntry> entries,
    Optional<Snapshot> snapshot,
    boolean installed) {}
