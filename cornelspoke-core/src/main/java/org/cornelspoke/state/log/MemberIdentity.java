package org.cornelspoke.state.log;

import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import java.util.regex.Pattern;
import org.cornelspoke.util.Assert;

/**
 * Random identity of a data folder, 32 hexadecimal digits. A VM whose folder was wiped gets a new
 * identity, so that it cannot vote or acknowledge entries as the member that lost its data.
 */
public record MemberIdentity(String value) implements Comparable<MemberIdentity> {

  private static final Pattern PATTERN = Pattern.compile("[0-9a-f]{32}");

  /**
   * Checks the format.
   *
   * @throws IllegalArgumentException if the text is not 32 lower-case hexadecimal digits
   */
  public MemberIdentity {
    Assert.isTrue(
        value != null && PATTERN.matcher(value).matches(),
        "identity must be 32 hexadecimal digits: " + value);
  }

  /** Creates an identity from a source of random 64-bit numbers. */
  public static MemberIdentity random(LongSupplier randomLongs) {
    return new MemberIdentity(
        String.format("%016x%016x", randomLongs.getAsLong(), randomLongs.getAsLong()));
  }

  /** Creates a reproducible identity from a seed, for simulations. */
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
