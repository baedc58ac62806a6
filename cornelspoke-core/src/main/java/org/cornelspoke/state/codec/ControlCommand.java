package org.cornelspoke.state.codec;

import java.util.List;
import java.util.Optional;
import org.cornelspoke.model.CallId;
import org.cornelspoke.state.claim.ClaimKey;
import org.cornelspoke.state.claim.StoredAnswer;
import org.cornelspoke.state.config.ChangeRequest;
import org.cornelspoke.state.registry.RegistryChange;

/** A command in the log of the control group. Times are those of the proposer's wall clock. */
public sealed interface ControlCommand {

  /** Changes the configuration. */
  record Change(ChangeRequest request) implements ControlCommand {}

  /** Changes the registry. */
  record RegistryBatch(List<RegistryChange> changes) implements ControlCommand {

    /** Copies the list. */
    public RegistryBatch {
      changes = List.copyOf(changes);
    }
  }

  /** Asks for a claim. */
  record PlaceClaim(ClaimKey key, CallId attempt, String fingerprintHex, long timestampMillis)
      implements ControlCommand {}

  /** Records that a claimed request has run. */
  record CompleteClaim(
      ClaimKey key, CallId attempt, Optional<StoredAnswer> answer, long timestampMillis)
      implements ControlCommand {}

  /** Gives up a claim. */
  record ReleaseClaim(ClaimKey key, CallId attempt, long timestampMillis)
      implements ControlCommand {}
}
