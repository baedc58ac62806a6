package org.cornelspoke.coordination.admission;

import org.cornelspoke.util.Assert;

/**
 * Load of a gate, reported back on each reply so that callers can compare targets.
 *
 * @param inFlight requests that the upstream is serving
 * @param queued requests that wait
 * @param limit concurrency limit in force
 * @param pressurePercent requests of the most urgent class that wait, as a percentage of the limit;
 *     at this gate or at those of the services that it calls, whichever is higher
 */
public record GateLoad(int inFlight, int queued, int limit, int pressurePercent) {

  /** A gate that has never been used. */
  public static final GateLoad IDLE = new GateLoad(0, 0, 1);

  /** Checks the pressure. */
  public GateLoad {
    Assert.isTrue(pressurePercent >= 0, "pressurePercent must be 0 or more");
  }

  /** Creates the load of a gate without pressure. */
  public GateLoad(int inFlight, int queued, int limit) {
    this(inFlight, queued, limit, 0);
  }

  /** Returns this load with the pressure below the gate taken into account. */
  public GateLoad withDownstreamPressure(int percent) {
    return percent <= pressurePercent ? this : new GateLoad(inFlight, queued, limit, percent);
  }
}
