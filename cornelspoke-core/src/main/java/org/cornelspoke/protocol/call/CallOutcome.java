package org.cornelspoke.protocol.call;

import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.util.Assert;

/**
 * Result of one attempt of a call, with the feedback of the daemon that served it.
 *
 * @param unusedAttempts extra attempts granted to the call that it did not use
 * @param downstreamCalls number of nested calls that the attempt caused, at every depth; a retry
 *     would cause about as many again
 * @param load load of the target's gate, or null if the target's daemon was not reached
 * @param metadata what the target's daemon tells beside the result; unknown unless the result is a
 *     response
 */
public record CallOutcome(
    CallResult result,
    int unusedAttempts,
    int downstreamCalls,
    GateLoad load,
    ReplyMetadata metadata) {

  /** Creates an outcome without metadata. */
  public CallOutcome(CallResult result, int unusedAttempts, int downstreamCalls, GateLoad load) {
    this(result, unusedAttempts, downstreamCalls, load, ReplyMetadata.NONE);
  }

  /** Checks that the result is present and the counts are not negative. */
  public CallOutcome {
    Assert.notNull(result, "result");
    Assert.isTrue(unusedAttempts >= 0, "unusedAttempts must be 0 or more");
    Assert.isTrue(downstreamCalls >= 0, "downstreamCalls must be 0 or more");
    Assert.notNull(metadata, "metadata");
  }
}
