package org.cornelspoke.coordination.dedup;

import java.util.Optional;
import org.cornelspoke.model.CallId;
import org.cornelspoke.state.claim.ClaimKey;
import org.cornelspoke.state.claim.ClaimOutcome;
import org.cornelspoke.state.claim.StoredResponse;

/**
 * Creates, completes and releases claims in the replicated log of the control group. Methods don't
 * block; listeners run on the traffic thread that made the call.
 */
public interface ClaimClient {

  /**
   * Requests a claim.
   *
   * @param attempt identifies this attempt of the caller; a repeated claim with the same attempt
   *     gets the same outcome
   * @param fingerprintHex SHA-256 over method, path and body of the request
   * @param deadlineNanos monotonic time after which {@link ClaimOutcome.Unavailable} is reported
   * @param listener called exactly once
   */
  void claim(
      ClaimKey key, CallId attempt, String fingerprintHex, long deadlineNanos, Listener listener);

  /** Records that the request has run. Without a response, a resend learns only this fact. */
  void complete(ClaimKey key, CallId attempt, Optional<StoredResponse> answer);

  /** Releases the claim of a request that has definitely not run. */
  void release(ClaimKey key, CallId attempt);

  /** Receives the outcome of a claim. */
  interface Listener {

    /** Called exactly once with the outcome. */
    void onOutcome(ClaimOutcome outcome);
  }
}
