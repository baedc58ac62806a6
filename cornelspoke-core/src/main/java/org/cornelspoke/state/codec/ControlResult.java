package org.cornelspoke.state.codec;

import org.cornelspoke.state.claim.ClaimOutcome;
import org.cornelspoke.state.config.ChangeResult;

/** Result of a {@link ControlCommand}. */
public sealed interface ControlResult {

  /** Result of a configuration change. */
  record Changed(ChangeResult result) implements ControlResult {}

  /** Version of the registry after a batch of changes. */
  record RegistryVersion(long version) implements ControlResult {}

  /** Outcome of a claim request. */
  record Claimed(ClaimOutcome outcome) implements ControlResult {}

  /**
   * Result of the completion or release of a claim.
   *
   * @param applied false if the attempt did not hold the claim
   */
  record ClaimEnded(boolean applied) implements ControlResult {}

  /**
   * Result of a command about quarantined requests.
   *
   * @param changed false if no request changed its state
   */
  record QuarantineChanged(boolean changed) implements ControlResult {}
}
