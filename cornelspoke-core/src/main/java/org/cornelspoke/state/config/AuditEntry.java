package org.cornelspoke.state.config;

import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.model.Revision;

/**
 * One entry of the audit trail.
 *
 * @param sequence sequence number, incremented by one for each entry
 * @param timestampMillis wall-clock time in milliseconds since the epoch
 * @param revision revision created by the change, or the current revision if it was not accepted
 * @param outcome {@code accepted}, {@code conflict} or {@code rejected}
 * @param action simple class name of the requested {@link ConfigChange}, for example {@code
 *     SetAccount}
 * @param before previous value as text without secrets; empty if there was none
 * @param after new value as text without secrets; empty if there is none
 */
public record AuditEntry(
    long sequence,
    long timestampMillis,
    OperatorId operator,
    RequestId requestId,
    Revision revision,
    String outcome,
    String action,
    EntityId entity,
    String before,
    String after) {}
