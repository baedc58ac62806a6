package org.cornelspoke.protocol.call;

import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.util.Assert;

/**
 * The result of one attempt together with what the target's daemon reports back.
 *
 * @param unusedAttempts extra attempts lent to the call that it did not use
 * @param callsBelow nested calls that the attempt caused, at every depth; a repeat of the attempt
 *     would cause about as many again
 * @param load load of the target's gate, or null if the target's daemon was not reached
 */
public record CallEnding(CallResult result, int unusedAttempts, int callsBelow, GateLoad load) {

  /** Checks the parts. */
  public CallEnding {
    Assert.notNull(result, "result");
    Assert.isTrue(unusedAttempts >= 0, "unusedAttempts must be 0 or more");
    Assert.isTrue(callsBelow >= 0, "callsBelow must be 0 or more");
  }
}
