package org.cornelspoke.model;

/** Priority class of a request. Classes are shed in reverse order of declaration. */
public enum TrafficClass {
  /** Essential requests such as entries, fees, orders and payments; shed last. */
  CRITICAL,
  /** Requests for which a user is waiting, such as schedules and results. */
  INTERACTIVE,
  /** Downloads and documents; shed first. */
  BULK;

  /**
   * Returns the class of requests with a priority rank configured by operators.
   *
   * @param rank priority rank, 0 for the most urgent requests; whether a request may be repeated
   *     says nothing about its urgency
   * @param bulk true if the responses are large
   */
  public static TrafficClass ofRank(int rank, boolean bulk) {
    if (rank <= 0) {
      return CRITICAL;
    }
    return bulk ? BULK : INTERACTIVE;
  }

  /** Returns true if this class is shed later than the given one. */
  public boolean outranks(TrafficClass other) {
    return compareTo(other) < 0;
  }
}
