package org.cornelspoke.state.claim;

import org.cornelspoke.model.CallId;

/**
 * One claim of the table.
 *
 * @param attempt the request that holds the claim
 * @param timestampMillis latest command time that the table had seen when the claim was placed
 * @param state {@link ClaimOutcome.Running}, {@link ClaimOutcome.Done} or {@link
 *     ClaimOutcome.DoneWithoutAnswer}
 */
public record Claim(
    ClaimKey key,
    CallId attempt,
    String fingerprintHex,
    long timestampMillis,
    ClaimOutcome state) {}
