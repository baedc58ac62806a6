package org.cornelspoke.state.claim;

/** Result of a claim for a request that must run at most once. */
public sealed interface ClaimOutcome {

  /** The attempt holds the claim and may run the request. */
  record Granted() implements ClaimOutcome {}

  /** Another attempt holds the claim and has not reported its outcome. */
  record Running() implements ClaimOutcome {}

  /** The request has run; carries the stored response. */
  record Completed(StoredResponse response) implements ClaimOutcome {}

  /** The request has run, and its response was too large to store. */
  record CompletedWithoutResponse() implements ClaimOutcome {}

  /** The idempotency key was used for a request with another fingerprint. */
  record Mismatch() implements ClaimOutcome {}

  /** The account has reached its maximum number of claims. */
  record TableFull() implements ClaimOutcome {}

  /** The control group did not reply in time; the claim may or may not have been placed. */
  record Unavailable() implements ClaimOutcome {}
}
