package org.cornelspoke.state.config;

import java.util.Optional;
import org.cornelspoke.model.Revision;

/** Result of a change request. A retried request receives an equal result. */
public sealed interface ChangeResult {

  /** The change was accepted, is durable on a quorum and created this revision. */
  record Accepted(Revision revision) implements ChangeResult {}

  /**
   * The change is based on a revision or version that is not current.
   *
   * @param conflictingChange the change that created the current revision, if the audit trail still
   *     contains it
   */
  record Conflict(Revision current, Optional<AuditEntry> conflictingChange)
      implements ChangeResult {}

  /** The change violates a rule; for example, it refers to an account that does not exist. */
  record Rejected(Revision current, String rule) implements ChangeResult {}
}
