package org.cornelspoke.state.codec;

import java.util.List;
import java.util.Optional;
import org.cornelspoke.model.CallId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.state.claim.ClaimKey;
import org.cornelspoke.state.claim.StoredResponse;
import org.cornelspoke.state.config.ChangeRequest;
import org.cornelspoke.state.quarantine.CrashReport;
import org.cornelspoke.state.registry.RegistryChange;

/** A command in the log of the control group. Timestamps come from the proposer's wall clock. */
public sealed interface ControlCommand {

  /** Applies a configuration change. */
  record Change(ChangeRequest request) implements ControlCommand {}

  /** Applies changes to the target registry. */
  record RegistryBatch(List<RegistryChange> changes) implements ControlCommand {

    /** Copies the list. */
    public RegistryBatch {
      changes = List.copyOf(changes);
    }
  }

  /** Requests a claim. */
  record PlaceClaim(ClaimKey key, CallId attempt, String fingerprintHex, long timestampMillis)
      implements ControlCommand {}

  /** Records that a claimed request has run, with its response if that is small enough to keep. */
  record CompleteClaim(
      ClaimKey key, CallId attempt, Optional<StoredResponse> response, long timestampMillis)
      implements ControlCommand {}

  /** Releases a claim whose request has not run. */
  record ReleaseClaim(ClaimKey key, CallId attempt, long timestampMillis)
      implements ControlCommand {}

  /** Records the crash of an upstream. */
  record RecordCrash(CrashReport report, long timestampMillis) implements ControlCommand {}

  /** Records a response to a request that is suspected to crash upstreams. */
  record RecordResponse(RequestFingerprint fingerprint, long timestampMillis)
      implements ControlCommand {}

  /** Releases a request that is refused because it crashes upstreams. */
  record ReleaseRequest(RequestFingerprint fingerprint, OperatorId operator, long timestampMillis)
      implements ControlCommand {}
}
