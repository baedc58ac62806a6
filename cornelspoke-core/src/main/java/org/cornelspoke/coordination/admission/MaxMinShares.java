package org.cornelspoke.coordination.admission;

/** Weighted max-min fair division of a capacity. */
final class MaxMinShares {

  private MaxMinShares() {}

  /**
   * Returns the share per weight up to which demands are met: each gets its demand if that is below
   * its weight times the level, and its weight times the level otherwise. The level is infinite if
   * all demands can be met.
   *
   * @param count number of demands; the arrays may be longer
   */
  static double level(double[] demands, int[] weights, int count, double capacity) {
    double level = 0;
    while (true) {
      double remaining = capacity;
      double unmetWeight = 0;
      for (int i = 0; i < count; i++) {
        if (demands[i] <= level * weights[i]) {
          remaining -= demands[i];
        } else {
          unmetWeight += weights[i];
        }
      }
      if (unmetWeight == 0) {
        return Double.POSITIVE_INFINITY;
      }
      double next = remaining / unmetWeight;
      if (next <= level) {
        return level;
      }
      level = next;
    }
  }
}
