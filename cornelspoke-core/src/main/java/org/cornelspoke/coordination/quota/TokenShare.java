package org.cornelspoke.coordination.quota;

import org.cornelspoke.util.Assert;

/**
 * A portion of an account's token bucket. Splitting and merging conserve rate, burst and level, so
 * the portions of a bucket together never admit more than the bucket. No portion has a level above
 * its burst, not even one in transfer: otherwise the source could refill while its tokens are in
 * flight, and the portions together would hold more than the burst.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param rateTokensPerSecond tokens that the holder adds per second
 * @param burstTokens largest number of tokens that the holder may keep
 * @param levelTokens tokens currently available
 */
public record TokenShare(double rateTokensPerSecond, double burstTokens, double levelTokens) {

  /** A share without rate, burst or tokens. */
  public static final TokenShare EMPTY = new TokenShare(0, 0, 0);

  /** Tolerance for rounding errors, which are far smaller in sums of shares. */
  private static final double ROUNDING = 1e-6;

  /**
   * Validates that no component is negative or infinite, and that the level is at most the burst.
   * Rounding errors are corrected so that the share does not grow.
   */
  public TokenShare {
    rateTokensPerSecond = withoutRounding(rateTokensPerSecond);
    burstTokens = withoutRounding(burstTokens);
    levelTokens = withoutRounding(levelTokens);
    checkComponent(rateTokensPerSecond, "rateTokensPerSecond");
    checkComponent(burstTokens, "burstTokens");
    checkComponent(levelTokens, "levelTokens");
    Assert.isTrue(levelTokens <= burstTokens + ROUNDING, "levelTokens must be at most burstTokens");
    levelTokens = Math.min(levelTokens, burstTokens);
  }

  /** Returns the sum of two shares. */
  public TokenShare merge(TokenShare share) {
    return new TokenShare(
        rateTokensPerSecond + share.rateTokensPerSecond,
        burstTokens + share.burstTokens,
        levelTokens + share.levelTokens);
  }

  /**
   * Returns this share reduced by another one.
   *
   * @throws IllegalArgumentException if the given share is larger than this share
   */
  public TokenShare minus(TokenShare share) {
    return new TokenShare(
        rateTokensPerSecond - share.rateTokensPerSecond,
        burstTokens - share.burstTokens,
        levelTokens - share.levelTokens);
  }

  /**
   * Returns the portion of this share within the given amounts. Its level exceeds the given level
   * if the remaining burst could not hold the remaining tokens otherwise.
   */
  public TokenShare limitTo(double rate, double burst, double level) {
    double limitedBurst = Math.min(burstTokens, Math.max(0, burst));
    double overflow = levelTokens - (burstTokens - limitedBurst);
    return new TokenShare(
        Math.min(rateTokensPerSecond, Math.max(0, rate)),
        limitedBurst,
        Math.min(limitedBurst, Math.max(overflow, Math.min(levelTokens, Math.max(0, level)))));
  }

  /** Returns true if every component is zero. */
  public boolean isEmpty() {
    return rateTokensPerSecond == 0 && burstTokens == 0 && levelTokens == 0;
  }

  private static double withoutRounding(double value) {
    return value < 0 && value > -ROUNDING ? 0 : value;
  }

  private static void checkComponent(double value, String name) {
    Assert.isTrue(value >= 0 && Double.isFinite(value), name + " must be 0 or more: " + value);
  }
}
