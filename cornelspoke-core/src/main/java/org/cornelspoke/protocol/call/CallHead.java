package org.cornelspoke.protocol.call;

import java.util.Optional;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.util.Assert;

/**
 * Metadata of a call that the target's daemon receives with the body.
 *
 * @param requestTarget path and query as they appear in the HTTP request line
 * @param weight weight of the account in fair queueing
 * @param revision configuration revision that the edge used
 * @param remainingMillis time that remained until the deadline when the call was sent
 * @param extraAttempts extra attempts granted to the call and its nested calls
 * @param headers end-to-end request headers without the client key
 * @param metadata what the sender tells the target's daemon beside the request
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
    Headers headers,
    CallMetadata metadata) {

  /** Creates a head without metadata. */
  public CallHead(
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
    this(
        service,
        method,
        requestTarget,
        account,
        weight,
        trafficClass,
        revision,
        remainingMillis,
        extraAttempts,
        headers,
        CallMetadata.NONE);
  }

  /** Checks that the components are present and in range. */
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
    Assert.notNull(metadata, "metadata");
  }

  /** Returns a copy with the values of a further attempt. */
  public CallHead forAttempt(
      long newRemainingMillis, int newExtraAttempts, CallMetadata newMetadata) {
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
        headers,
        newMetadata);
  }

  /** Returns a copy with another root. */
  public CallHead withRoot(Optional<RootOrigin> newRoot) {
    return forAttempt(remainingMillis, extraAttempts, metadata.withRoot(newRoot));
  }
}
