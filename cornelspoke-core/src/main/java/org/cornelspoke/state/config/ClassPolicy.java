package org.cornelspoke.state.config;

import org.cornelspoke.util.Assert;

/**
 * How a preset treats one traffic class at the gate of an upstream.
 *
 * @param slotShare part of the concurrency limit that the class may hold, above 0 and up to 1
 * @param queueLimit requests of the class that may wait at one gate
 * @param queueTimeoutMillis longest wait at one gate
 * @param refused true if new requests of the class are refused
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
