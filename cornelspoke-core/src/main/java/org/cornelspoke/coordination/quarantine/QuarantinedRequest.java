package org.cornelspoke.coordination.quarantine;

import java.util.concurrent.TimeUnit;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.state.quarantine.QuarantineState;

/**
 * What a daemon knows about a request that has run in crashes.
 *
 * @param headHash hash of everything in the fingerprint except the body
 * @param stateSinceNanos monotonic time at which the daemon learned the state
 */
record QuarantinedRequest(
    RequestFingerprint fingerprint, long headHash, QuarantineState state, long stateSinceNanos) {

  /** Time for which a held request is refused; then one of them shows whether it crashes again. */
  static final long HOLD_NANOS = TimeUnit.MINUTES.toNanos(1);

  boolean isRefused(long nowNanos) {
    return state == QuarantineState.BLOCKED
        || (state == QuarantineState.HELD && nowNanos - stateSinceNanos < HOLD_NANOS);
  }
}
