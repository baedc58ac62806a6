package org.cornelspoke.coordination.admission;

import org.cornelspoke.util.Assert;

/**
 * Load of a gate, reported with each reply so that callers can compare targets.
 *
 * @param inFlight requests that the upstream is serving
 * @param queued requests that wait at the gate
 * @param limit current concurrency limit
 * @param pressurePercent waiting requests of the highest class as a percentage of the limit; the
 *     maximum of this gate and the gates of the services that the upstream calls
 */
public record GateLoad(int inFlight, int queued, int limit, int pressurePercent) {

  /** Load of an unused gate. */
  public static final GateLoad IDLE = new GateLoad(0, 0, 1);

  /** Validates the pressure. */
  public GateLoad {
    Assert.isTrue(pressurePercent >= 0, "pressurePercent must be 0 or more");
  }

  /** Creates the load of a gate without pressure. */
  public GateLoad(int inFlight, int queued, int limit) {
    this(inFlight, queued, limit, 0);
  }

  /** Returns this load with its pressure raised to that of the downstream gates if higher. */
  public GateLoad withDownstreamPressure(int percent) {
    return percent <= pressurePercent ? this : new GateLoad(inFlight, queued, limit, percent);
  }
}
