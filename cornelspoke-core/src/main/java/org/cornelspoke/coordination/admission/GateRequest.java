package org.cornelspoke.coordination.admission;

import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.util.Assert;

/**
 * Request as seen by a gate.
 *
 * @param weight weight of the account in fair queueing
 * @param deadlineNanos monotonic time after which the caller no longer waits for the response
 */
public record GateRequest(
    AccountId account, int weight, TrafficClass trafficClass, long deadlineNanos) {

  /** Validates the components. */
  public GateRequest {
    Assert.notNull(account, "account");
    Assert.isTrue(weight >= 1, "weight must be 1 or more");
    Assert.notNull(trafficClass, "trafficClass");
  }
}
