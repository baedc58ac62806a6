package org.cornelspoke.coordination.quota;

import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.util.Assert;

/**
 * State of an account with so many waiting requests that a new one would wait without getting a
 * token.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param highest highest exhausted class; all lower classes are exhausted, too
 * @param nanos time after which a new request may be served, if nothing else changes
 */
public record Exhaustion(TrafficClass highest, long nanos) {

  /** Validates the components. */
  public Exhaustion {
    Assert.notNull(highest, "highest");
    Assert.isTrue(nanos >= 0, "nanos must be 0 or more");
  }

  /** Returns true if the class is exhausted. */
  boolean includes(TrafficClass trafficClass) {
    return !trafficClass.outranks(highest);
  }
}
