package org.cornelspoke.state.config;

import org.cornelspoke.model.RequestId;

/**
 * The answer that a request id got when it was applied first.
 *
 * @param changeDigest digest of operator and change, to recognise an id that was used again for
 *     another change
 * @param timestampMillis latest request time that the state had seen, in milliseconds since the
 *     epoch
 */
public record FirstAnswer(
    RequestId requestId, String changeDigest, long timestampMillis, ChangeResult result) {}
