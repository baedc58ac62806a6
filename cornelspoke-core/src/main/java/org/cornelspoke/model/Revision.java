package org.cornelspoke.model;

import org.cornelspoke.util.Assert;

/**
 * Revision number of the configuration, incremented by one with each accepted change. Revisions
 * never decrease.
 */
public record Revision(long number) implements Comparable<Revision> {

  /** Revision of a configuration that has not yet been initialised or received. */
  public static final Revision NONE = new Revision(0);

  /**
   * Checks the number.
   *
   * @throws IllegalArgumentException if the number is negative
   */
  public Revision {
    Assert.isTrue(number >= 0, "revision must be 0 or more");
  }

  /** Returns the next revision. */
  public Revision next() {
    return new Revision(number + 1);
  }

  /** Returns true if this revision is later than the given one. */
  public boolean isAfter(Revision other) {
    return number > other.number;
  }

  @Override
  public int compareTo(Revision other) {
    return Long.compare(number, other.number);
  }

  @Override
  public String toString() {
    return Long.toString(number);
  }
}
