package org.cornelspoke.state.config;

import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.model.Revision;

/**
 * One line of the audit trail.
 *
 * @param sequence grows by one for each entry
 * @param timestampMillis wall-clock time in milliseconds since the epoch
 * @param revision the revision that the change made, or the current one if it was not accepted
 * @param outcome {@code accepted}, {@code conflict} or {@code rejected}
 * @param action what was asked for, for example {@code SetAccount}
 * @param before the former value as text, empty if there was none; secrets are never shown
 * @param after the new value as text, empty if there is none
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
