package org.cornelspoke.daemon.traffic;

import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.RequestFingerprint;

/**
 * A request whose connection to the upstream ended before a complete response.
 *
 * @param headHash hash of everything in the fingerprint except the body
 * @param connectedAtNanos monotonic time at which that connection was opened
 * @param runNanos time between sending the request and the loss of its connection
 * @param lostAtNanos monotonic time of the loss
 */
record LostRequest(
    RequestFingerprint fingerprint,
    long headHash,
    String method,
    String requestTarget,
    AccountId account,
    long connectedAtNanos,
    long runNanos,
    long lostAtNanos) {}
