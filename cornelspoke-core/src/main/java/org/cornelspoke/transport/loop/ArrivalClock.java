package org.cornelspoke.transport.loop;

/** Tells how long input that an event loop reads now may have waited on its socket. */
@FunctionalInterface
public interface ArrivalClock {

  /**
   * Returns the earliest time at which input that is read in this iteration of the event loop can
   * have arrived, in the time of {@link System#nanoTime}. Must be called on the thread of the loop.
   */
  long earliestArrivalNanos();
}
