package org.cornelspoke.coordination.admission;

import org.cornelspoke.model.TrafficClass;

/** Kind of request whose work times at one upstream are comparable: its class, and its origin. */
public enum WorkKind {
  /** Root request of the class {@link TrafficClass#CRITICAL}. */
  CRITICAL_ROOT(0),
  /** Nested call of the class {@link TrafficClass#CRITICAL}. */
  CRITICAL_NESTED(1),
  /** Root request of the class {@link TrafficClass#INTERACTIVE}. */
  INTERACTIVE_ROOT(2),
  /** Nested call of the class {@link TrafficClass#INTERACTIVE}. */
  INTERACTIVE_NESTED(3),
  /** Root request of the class {@link TrafficClass#BULK}. */
  BULK_ROOT(4),
  /** Nested call of the class {@link TrafficClass#BULK}. */
  BULK_NESTED(5);

  /** Number of kinds. */
  public static final int COUNT = 6;

  private final int index;

  WorkKind(int index) {
    this.index = index;
  }

  /** Returns the kind of a request. */
  public static WorkKind of(TrafficClass trafficClass, boolean nested) {
    return switch (trafficClass) {
      case CRITICAL -> nested ? CRITICAL_NESTED : CRITICAL_ROOT;
      case INTERACTIVE -> nested ? INTERACTIVE_NESTED : INTERACTIVE_ROOT;
      case BULK -> nested ? BULK_NESTED : BULK_ROOT;
    };
  }

  /** Returns a number from 0 to {@link #COUNT} - 1, for use in arrays. */
  public int index() {
    return index;
  }
}
