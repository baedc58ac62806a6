package org.cornelspoke.daemon.traffic;

import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.Verdict;
import org.cornelspoke.util.Assert;

/**
 * An answer that the daemon itself gives to a request.
 *
 * @param requestId the caller's id of the request, or null
 * @param retryAfterMillis when another try may succeed, or a negative number if that is not known
 * @param leftMillis time that the caller has left, or a negative number if that is not known
 */
public record OwnAnswer(
    RefusalReason reason,
    Verdict verdict,
    String requestId,
    long retryAfterMillis,
    long leftMillis) {

  /** Checks that reason and verdict are present. */
  public OwnAnswer {
    Assert.notNull(reason, "reason");
    Assert.notNull(verdict, "verdict");
  }
}
