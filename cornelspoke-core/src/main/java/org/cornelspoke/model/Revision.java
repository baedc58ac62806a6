package org.cornelspoke.model;

import org.cornelspoke.util.Assert;

/**
 * Number of an accepted configuration change. Revisions grow by one for each change and never go
 * back.
 */
public record Revision(long number) implements Comparable<Revision> {

  /** The revision before the first change. */
  public static final Revision NONE = new Revision(0);

  /**
   * Checks the number.
   *
   * @throws IllegalArgumentException if the number is negative
   */
  public Revision {
    Assert.isTrue(number >= 0, "revision must be 0 or more");
  }

  /** Returns the revision of the next change. */
  public Revision next() {
    return new Revision(number + 1);
  }

  /** Returns true if this revision is later than the other. */
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
