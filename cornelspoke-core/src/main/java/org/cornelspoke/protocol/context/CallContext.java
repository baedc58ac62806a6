package org.cornelspoke.protocol.context;

import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.CallId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.util.Assert;

/**
 * Context that a daemon issues for a call and that the upstream sends with its nested calls.
 *
 * @param call id of the call that the daemon sent to its upstream
 * @param revision configuration revision that the root request used
 * @param expiresAtMillis wall-clock time after which the context is refused; only the daemon that
 *     issued it, or its successor on the same VM, compares it with its clock
 */
public record CallContext(
    CallId call,
    AccountId account,
    int weight,
    TrafficClass trafficClass,
    Revision revision,
    long expiresAtMillis) {

  /** Checks that the components are present and the weight is in range. */
  public CallContext {
    Assert.notNull(call, "call");
    Assert.notNull(account, "account");
    Assert.isTrue(weight >= 1, "weight must be 1 or more");
    Assert.notNull(trafficClass, "trafficClass");
    Assert.notNull(revision, "revision");
  }
}
