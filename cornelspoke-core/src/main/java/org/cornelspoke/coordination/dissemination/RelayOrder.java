package org.cornelspoke.coordination.dissemination;

import java.util.random.RandomGenerator;

/** Order in which a daemon prefers the relays that it knows. */
@FunctionalInterface
public interface RelayOrder {

  /** Order of the settings; relays that become known later come last. */
  RelayOrder LISTED = (relay, random) -> relay;

  /**
   * Another order at each daemon, which includes relays that become known later, so that all relays
   * get equal parts of the daemons, also of those that lose a relay.
   */
  RelayOrder SPREAD = (relay, random) -> random.nextLong();

  /**
   * Returns the rank of a relay; relays of lower rank are preferred.
   *
   * @param relay number of the relay, from 0 in the order of the settings
   */
  long rank(int relay, RandomGenerator random);
}
