package org.cornelspoke.state.codec;

import org.cornelspoke.state.claim.ClaimOutcome;
import org.cornelspoke.state.config.ChangeResult;

/** Result of a {@link ControlCommand}. */
public sealed interface ControlResult {

  /** Result of a configuration change. */
  record Changed(ChangeResult result) implements ControlResult {}

  /** Version of the registry after a batch. */
  record RegistryVersion(long version) implements ControlResult {}

  /** Answer to a claim. */
  record Claimed(ClaimOutcome outcome) implements ControlResult {}

  /**
   * Answer to the completion or release of a claim.
   *
   * @param applied false if the attempt did not hold the claim
   */
  record ClaimEnded(boolean applied) implements ControlResult {}
}
