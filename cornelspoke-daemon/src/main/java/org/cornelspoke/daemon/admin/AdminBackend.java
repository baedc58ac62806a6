package org.cornelspoke.daemon.admin;

import io.activej.promise.Promise;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.state.config.AuditEntry;
import org.cornelspoke.state.config.ChangeRequest;
import org.cornelspoke.state.config.ChangeResult;
import org.cornelspoke.state.registry.Target;

/**
 * What the administration API needs from a control daemon.
 *
 * <p>Belongs to the control thread: every method is called on it and every promise completes on it.
 * A promise that can't be fulfilled for lack of a quorum or a leader fails with {@link
 * BackendUnavailableException}.
 */
public interface AdminBackend {

  /**
   * Submits a change and completes once a quorum has synced it and it is applied here. A request id
   * that was answered before gets the first answer.
   */
  Promise<ChangeResult> submit(ChangeRequest request);

  /** Reads every live configuration entity at an index that is proved current. */
  Promise<ConfigRead> readConfig();

  /**
   * Finds the operator of a token. Implementations compare hashes with {@link OperatorTokens#find},
   * which takes the same time whether or not one matches.
   *
   * @param tokenHashHex SHA-256 of the token in lower-case hexadecimal
   * @param mode whether the answer must be proved current
   */
  Promise<Optional<OperatorId>> findOperator(String tokenHashHex, ReadMode mode);

  /**
   * Reads the audit trail at an index that is proved current.
   *
   * @param fromSequence sequence of the first wanted entry; empty for the newest entries
   * @param limit largest number of entries
   * @return entries in ascending order of sequence
   */
  Promise<List<AuditEntry>> audit(OptionalLong fromSequence, int limit);

  /** Returns the registered targets as this control VM has applied them. */
  Promise<List<Target>> targets();

  /** Returns the daemons that are attached to any control VM. */
  Promise<AttachedDaemons> daemons();

  /** Returns the state of the control group as this control VM sees it; works without a quorum. */
  Promise<GroupStatus> groupStatus();

  /**
   * Changes the members of the control group, one at a time. A request id that was answered before
   * gets the first answer.
   */
  Promise<MembershipResult> changeMembership(MembershipRequest request);
}
