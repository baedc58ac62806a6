package org.cornelspoke.coordination.admission;

/**
 * Load of a gate, reported back on each reply so that callers can compare targets.
 *
 * @param inFlight requests that the upstream is serving
 * @param queued requests that wait
 * @param limit concurrency limit in force
 */
public record GateLoad(int inFlight, int queued, int limit) {

  /** A gate that has never been used. */
  public static final GateLoad IDLE = new GateLoad(0, 0, 1);
}
