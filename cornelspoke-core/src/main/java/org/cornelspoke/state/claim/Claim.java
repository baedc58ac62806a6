package org.cornelspoke.state.claim;

import org.cornelspoke.model.CallId;

/**
 * One entry of the claim table.
 *
 * @param attempt the call that holds the claim
 * @param timestampMillis time of the table when the claim was placed: the latest command timestamp
 *     seen until then
 * @param state {@link ClaimOutcome.Running}, {@link ClaimOutcome.Completed} or {@link
 *     ClaimOutcome.CompletedWithoutResponse}
 */
public record Claim(
    ClaimKey key,
    CallId attempt,
    String fingerprintHex,
    long timestampMillis,
    ClaimOutcome state) {}
