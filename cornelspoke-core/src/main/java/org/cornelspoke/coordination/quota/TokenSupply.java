package org.cornelspoke.coordination.quota;

import org.cornelspoke.model.TrafficClass;

/**
 * What a daemon knows about the tokens of one account at the time of a refusal.
 *
 * @param shareRate tokens per second of the held share
 * @param demandPerSecond arrivals by class
 * @param waiting requests that wait for a token at this daemon, by class
 * @param exhaustedNanos time for which the account is exhausted over the fleet, 0 if it isn't
 */
record TokenSupply(
    double shareRate, ClassAmounts demandPerSecond, ClassAmounts waiting, long exhaustedNanos) {

  /** Returns the sum over the classes that outrank the given one. */
  static double above(TrafficClass trafficClass, ClassAmounts amounts) {
    double sum = 0;
    for (TrafficClass other : TrafficClass.values()) {
      if (other.outranks(trafficClass)) {
        sum += amounts.of(other);
      }
    }
    return sum;
  }
}
