package org.cornelspoke.bench.upstream;

import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/** Draws service times and faults from one seeded generator. */
final class ServiceTime {

  private final RandomGenerator random;

  ServiceTime(long seed) {
    random = new Well19937c(seed);
  }

  /**
   * Returns a service time in milliseconds.
   *
   * @param ageMillis time since the cold start
   */
  double nextMillis(UpstreamBehaviour behaviour, long ageMillis) {
    double sigma = behaviour.serviceSigma();
    // The mean of a lognormal variable is exp(mu + sigma^2 / 2).
    double warm =
        behaviour.serviceMillis() * Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
    return warm * coldFactor(behaviour, ageMillis);
  }

  /** Returns true with the given probability. */
  boolean happens(double probability) {
    return probability > 0 && random.nextDouble() < probability;
  }

  private static double coldFactor(UpstreamBehaviour behaviour, long ageMillis) {
    if (ageMillis >= behaviour.coldStartMillis()) {
      return 1;
    }
    double left = 1 - (double) ageMillis / behaviour.coldStartMillis();
    return 1 + (behaviour.coldStartFactor() - 1) * left;
  }
}
