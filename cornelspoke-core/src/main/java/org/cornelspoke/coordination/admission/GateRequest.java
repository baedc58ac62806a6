package org.cornelspoke.coordination.admission;

import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.util.Assert;

/**
 * What a gate needs to know of a request.
 *
 * @param weight share of the account in fair queueing
 * @param deadlineNanos monotonic time after which nobody reads the answer
 */
public record GateRequest(
    AccountId account, int weight, TrafficClass trafficClass, long deadlineNanos) {

  /** Checks the parts. */
  public GateRequest {
    Assert.notNull(account, "account");
    Assert.isTrue(weight >= 1, "weight must be 1 or more");
    Assert.notNull(trafficClass, "trafficClass");
  }
}
