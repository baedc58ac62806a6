package org.cornelspoke.model;

/** The importance of a request. Classes are shed in reverse order of declaration. */
public enum TrafficClass {
  /** Entries, fees, orders and payments; shed last. */
  CRITICAL,
  /** Requests that a person waits for, such as schedules and results. */
  INTERACTIVE,
  /** Downloads and documents; shed first. */
  BULK;

  /** Returns true if this class is shed later than the other. */
  public boolean outranks(TrafficClass other) {
    return compareTo(other) < 0;
  }
}
