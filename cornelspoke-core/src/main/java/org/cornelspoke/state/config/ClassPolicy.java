package org.cornelspoke.state.config;

import org.cornelspoke.util.Assert;

/**
 * Admission policy of a preset for one traffic class at the gate of an upstream.
 *
 * @param slotShare fraction of the concurrency limit that the class may use, above 0 and at most 1
 * @param queueLimit maximum number of queued requests of the class at one gate
 * @param queueTimeoutMillis maximum time in the queue of one gate
 * @param refused true if all new requests of the class are refused
 */
public record ClassPolicy(
    double slotShare, int queueLimit, long queueTimeoutMillis, boolean refused) {

  /** Checks the ranges. */
  public ClassPolicy {
    Assert.isTrue(slotShare > 0 && slotShare <= 1, "slotShare must be above 0 and at most 1");
    Assert.isTrue(queueLimit >= 0, "queueLimit must be 0 or more");
    Assert.isTrue(queueTimeoutMillis >= 0, "queueTimeoutMillis must be 0 or more");
  }
}
