package org.cornelspoke.coordination.quota;

import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.util.Assert;

/**
 * The state of an account so many of whose requests wait that a new one would wait in vain.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param highest highest class that this holds for; those that it outranks are exhausted, too
 * @param nanos time after which a new request may be served, if nothing else changes
 */
public record Exhaustion(TrafficClass highest, long nanos) {

  /** Checks the parts. */
  public Exhaustion {
    Assert.notNull(highest, "highest");
    Assert.isTrue(nanos >= 0, "nanos must be 0 or more");
  }

  /** Returns true if requests of the class would wait in vain. */
  boolean includes(TrafficClass trafficClass) {
    return !trafficClass.outranks(highest);
  }
}
