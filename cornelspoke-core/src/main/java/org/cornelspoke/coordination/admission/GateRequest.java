package org.cornelspoke.coordination.admission;

import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.util.Assert;

/**
 * Request as seen by a gate.
 *
 * @param account account that is charged; for a nested call with a known root, that of the root
 * @param weight weight of the account in fair queueing
 * @param trafficClass class of the request; for a nested call with a known root, that of the root
 * @param deadlineNanos monotonic time after which the caller no longer waits for the response
 * @param begun true for a call on behalf of a root request that has been admitted before
 */
public record GateRequest(
    AccountId account, int weight, TrafficClass trafficClass, long deadlineNanos, boolean begun) {

  /** Validates the components. */
  public GateRequest {
    Assert.notNull(account, "account");
    Assert.isTrue(weight >= 1, "weight must be 1 or more");
    Assert.notNull(trafficClass, "trafficClass");
  }

  /** Creates a request that begins new work. */
  public GateRequest(AccountId account, int weight, TrafficClass trafficClass, long deadlineNanos) {
    this(account, weight, trafficClass, deadlineNanos, false);
  }
}
