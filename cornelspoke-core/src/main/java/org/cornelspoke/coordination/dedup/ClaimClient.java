package org.cornelspoke.coordination.dedup;

import java.util.Optional;
import org.cornelspoke.model.CallId;
import org.cornelspoke.state.claim.ClaimKey;
import org.cornelspoke.state.claim.ClaimOutcome;
import org.cornelspoke.state.claim.StoredAnswer;

/**
 * Places and ends claims in the control group's log. Methods return at once; calls and listeners
 * run on the traffic thread that made the call.
 */
public interface ClaimClient {

  /**
   * Asks for the claim.
   *
   * @param attempt identifies this request of the caller; a repeated question with the same attempt
   *     gets the same answer
   * @param fingerprintHex SHA-256 over method, path and body of the request
   * @param deadlineNanos monotonic time after which {@link ClaimOutcome.Unavailable} is reported
   * @param listener called exactly once
   */
  void claim(
      ClaimKey key, CallId attempt, String fingerprintHex, long deadlineNanos, Listener listener);

  /** Records that the request has run. Without an answer, resends learn only that it has run. */
  void complete(ClaimKey key, CallId attempt, Optional<StoredAnswer> answer);

  /** Gives up the claim of a request that provably has not run. */
  void release(ClaimKey key, CallId attempt);

  /** Receives the answer to a claim. */
  interface Listener {

    /** Called exactly once with the answer. */
    void onOutcome(ClaimOutcome outcome);
  }
}
