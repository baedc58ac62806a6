package org.cornelspoke.model;

/** The importance of a request. Classes are shed in reverse order of declaration. */
public enum TrafficClass {
  /** Entries, fees, orders and payments; shed last. */
  CRITICAL,
  /** Requests that a person waits for, such as schedules and results. */
  INTERACTIVE,
  /** Downloads and documents; shed first. */
  BULK;

  /**
   * Returns the class of requests to which operators gave a rank.
   *
   * @param rank 0 for the most urgent requests
   * @param repeatable true if running a request twice does no harm
   * @param bulk true if the answers are large
   */
  public static TrafficClass ofRank(int rank, boolean repeatable, boolean bulk) {
    if (rank <= 0 || !repeatable) {
      return CRITICAL;
    }
    return bulk ? BULK : INTERACTIVE;
  }

  /** Returns true if this class is shed later than the other. */
  public boolean outranks(TrafficClass other) {
    return compareTo(other) < 0;
  }
}
