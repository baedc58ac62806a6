package org.cornelspoke.state.config;

import org.cornelspoke.model.RequestId;

/**
 * Result with which a change request was first applied, returned again to retries.
 *
 * @param changeDigest digest of operator and change, to detect reuse of the id for another change
 * @param timestampMillis latest request timestamp seen when the request was applied, in
 *     milliseconds since the epoch
 */
public record RecordedResult(
    RequestId requestId, String changeDigest, long timestampMillis, ChangeResult result) {}
