package org.cornelspoke.daemon.traffic;

import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.Verdict;
import org.cornelspoke.util.Assert;

/**
 * A response that the daemon generates itself instead of forwarding one from an upstream.
 *
 * @param requestId the caller's request id, or null if absent
 * @param retryAfterMillis delay after which a retry may succeed, or a negative number if unknown
 * @param remainingMillis remaining time of the caller, or a negative number if unknown
 * @param retryUseless true if a retry within the remaining time can't succeed, so that the delay
 *     must not be shortened to one that the caller follows
 */
public record DaemonResponse(
    RefusalReason reason,
    Verdict verdict,
    String requestId,
    long retryAfterMillis,
    long remainingMillis,
    boolean retryUseless) {

  /** Validates that reason and verdict are present. */
  public DaemonResponse {
    Assert.notNull(reason, "reason");
    Assert.notNull(verdict, "verdict");
  }

  /** Creates a response to a request for which a retry may succeed. */
  public DaemonResponse(
      RefusalReason reason,
      Verdict verdict,
      String requestId,
      long retryAfterMillis,
      long remainingMillis) {
    this(reason, verdict, requestId, retryAfterMillis, remainingMillis, false);
  }
}
