package org.cornelspoke.daemon.admin;

import io.activej.promise.Promise;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.state.config.AuditEntry;
import org.cornelspoke.state.config.ChangeRequest;
import org.cornelspoke.state.config.ChangeResult;
import org.cornelspoke.state.quarantine.QuarantineEntry;
import org.cornelspoke.state.registry.Target;

/**
 * Operations of a control daemon that the administration API calls.
 *
 * <p>Confined to the control thread: every method is called on it and every promise completes on
 * it. Without a quorum or a leader, promises that need one fail with {@link
 * BackendUnavailableException}.
 */
public interface AdminBackend {

  /**
   * Submits a change. The promise completes once a quorum has synced the change to disk and this VM
   * has applied it. A repeated request id returns the result of the first request.
   */
  Promise<ChangeResult> submit(ChangeRequest request);

  /** Returns every existing configuration entity, with a linearizable read. */
  Promise<ConfigListing> readConfig();

  /**
   * Finds the operator with the given token hash. Implementations compare hashes with {@link
   * OperatorTokens#find}, whose duration does not depend on whether one matches.
   *
   * @param tokenHashHex SHA-256 of the token in lower-case hexadecimal
   * @param mode whether the read must be linearizable
   */
  Promise<Optional<OperatorId>> findOperator(String tokenHashHex, ReadMode mode);

  /**
   * Returns entries of the audit trail, with a linearizable read.
   *
   * @param fromSequence sequence number of the first entry to return; empty for the newest entries
   * @param limit maximum number of entries
   * @return entries in ascending order of their sequence numbers
   */
  Promise<List<AuditEntry>> auditEntries(OptionalLong fromSequence, int limit);

  /** Returns the registered targets in the locally applied state of this control VM. */
  Promise<List<Target>> targets();

  /**
   * Returns whether the data centre has a registered target, an attached daemon or this VM, or was
   * evacuated before. The answer is negative only if a quorum confirms that the state is current.
   */
  Promise<Boolean> isKnownDataCentre(DataCentreId dataCentre);

  /**
   * Returns the requests that have run in crashes of upstreams, with a linearizable read, in the
   * order of their last changes.
   */
  Promise<List<QuarantineEntry>> quarantine();

  /**
   * Releases a request that is refused because it crashes upstreams. The promise completes once a
   * quorum has synced the order to disk.
   *
   * @return true also if the request is already released; false if there is no evidence against it
   */
  Promise<Boolean> release(RequestFingerprint fingerprint, OperatorId operator);

  /** Returns the daemons that are connected to the relay of any control VM. */
  Promise<AttachedDaemons> attachedDaemons();

  /** Returns the state of the control group as known to this VM; works without a quorum. */
  Promise<GroupStatus> groupStatus();

  /**
   * Adds, promotes or removes one member of the control group. A repeated request id returns the
   * result of the first request.
   */
  Promise<MembershipResult> changeMembership(MembershipRequest request);
}
