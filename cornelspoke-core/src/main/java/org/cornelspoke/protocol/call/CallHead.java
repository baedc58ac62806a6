package org.cornelspoke.protocol.call;

import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.util.Assert;

/**
 * What the target's daemon needs to know of a call besides its body.
 *
 * @param requestTarget path and query in wire form
 * @param weight share of the account in fair queueing
 * @param revision configuration revision that the edge used
 * @param remainingMillis time left when the call was sent
 * @param extraAttempts extra attempts lent to the call and its nested calls
 * @param headers end-to-end request headers without the client key
 */
public record CallHead(
    ServiceName service,
    String method,
    String requestTarget,
    AccountId account,
    int weight,
    TrafficClass trafficClass,
    Revision revision,
    long remainingMillis,
    int extraAttempts,
    Headers headers) {

  /** Checks the ranges. */
  public CallHead {
    Assert.notNull(service, "service");
    Assert.hasText(method, "method");
    Assert.hasText(requestTarget, "requestTarget");
    Assert.notNull(account, "account");
    Assert.isTrue(weight >= 1, "weight must be 1 or more");
    Assert.notNull(trafficClass, "trafficClass");
    Assert.notNull(revision, "revision");
    Assert.isTrue(extraAttempts >= 0, "extraAttempts must be 0 or more");
    Assert.notNull(headers, "headers");
  }

  /** Returns the same call with other values of what changes from attempt to attempt. */
  public CallHead forAttempt(long newRemainingMillis, int newExtraAttempts) {
    return new CallHead(
        service,
        method,
        requestTarget,
        account,
        weight,
        trafficClass,
        revision,
        newRemainingMillis,
        newExtraAttempts,
        headers);
  }
}
