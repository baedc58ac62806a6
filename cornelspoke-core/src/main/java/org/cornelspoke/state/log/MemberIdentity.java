package org.cornelspoke.state.log;

import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import java.util.regex.Pattern;
import org.cornelspoke.util.Assert;

/**
 * Random identity of one data folder, 32 hexadecimal digits. A VM whose folder was wiped has
 * another identity, so it cannot vote or acknowledge in the name of the lost folder.
 */
public record MemberIdentity(String value) implements Comparable<MemberIdentity> {

  private static final Pattern PATTERN = Pattern.compile("[0-9a-f]{32}");

  /**
   * Checks the text.
   *
   * @throws IllegalArgumentException if the text is not 32 lower-case hexadecimal digits
   */
  public MemberIdentity {
    Assert.isTrue(
        value != null && PATTERN.matcher(value).matches(),
        "identity must be 32 hexadecimal digits: " + value);
  }

  /** Draws an identity from a source of random 64-bit numbers. */
  public static MemberIdentity random(LongSupplier randomLongs) {
    return new MemberIdentity(
        String.format("%016x%016x", randomLongs.getAsLong(), randomLongs.getAsLong()));
  }

  /** Draws a reproducible identity, for simulations. */
  public static MemberIdentity seeded(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    return random(random::nextLong);
  }

  @Override
  public int compareTo(MemberIdentity other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value.substring(0, 8);
  }
}
