package org.cornelspoke.state.config;

import java.util.Optional;
import org.cornelspoke.model.Revision;

/** Answer to a change request. A resent request gets an equal answer. */
public sealed interface ChangeResult {

  /** The change is accepted, durable on a quorum, and made this revision. */
  record Accepted(Revision revision) implements ChangeResult {}

  /**
   * Another revision is current than the one that the change was based on.
   *
   * @param winner the change that made the current revision, if the audit trail still has it
   */
  record Conflict(Revision current, Optional<AuditEntry> winner) implements ChangeResult {}

  /** The change breaks a rule, for example it names an account that does not exist. */
  record Rejected(Revision current, String rule) implements ChangeResult {}
}
