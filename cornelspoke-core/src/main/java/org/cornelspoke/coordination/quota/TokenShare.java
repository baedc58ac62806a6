package org.cornelspoke.coordination.quota;

import org.cornelspoke.util.Assert;

/**
 * A part of an account's token bucket. Splitting and merging conserve rate, burst and level, so the
 * parts of a bucket together never admit more than the bucket. No part, not even one that is being
 * transferred, has a level above its burst: otherwise the source could refill while its tokens are
 * on the way, and the parts together would hold more than the burst.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param rateTokensPerSecond tokens that the holder adds per second
 * @param burstTokens most tokens that the holder may keep
 * @param levelTokens tokens present
 */
public record TokenShare(double rateTokensPerSecond, double burstTokens, double levelTokens) {

  /** Nothing. */
  public static final TokenShare EMPTY = new TokenShare(0, 0, 0);

  /** Rounding errors of sums of parts stay far below this. */
  private static final double ROUNDING = 1e-6;

  /**
   * Checks that no part is negative or infinite, and that the level is at most the burst. Parts
   * that are wrong by a rounding error are corrected downwards.
   */
  public TokenShare {
    rateTokensPerSecond = withoutRounding(rateTokensPerSecond);
    burstTokens = withoutRounding(burstTokens);
    levelTokens = withoutRounding(levelTokens);
    checkPart(rateTokensPerSecond, "rateTokensPerSecond");
    checkPart(burstTokens, "burstTokens");
    checkPart(levelTokens, "levelTokens");
    Assert.isTrue(levelTokens <= burstTokens + ROUNDING, "levelTokens must be at most burstTokens");
    levelTokens = Math.min(levelTokens, burstTokens);
  }

  /** Returns the sum of two shares. */
  public TokenShare merge(TokenShare other) {
    return new TokenShare(
        rateTokensPerSecond + other.rateTokensPerSecond,
        burstTokens + other.burstTokens,
        levelTokens + other.levelTokens);
  }

  /**
   * Returns what is left after a part was taken out.
   *
   * @throws IllegalArgumentException if the part is larger than this share
   */
  public TokenShare without(TokenShare part) {
    return new TokenShare(
        rateTokensPerSecond - part.rateTokensPerSecond,
        burstTokens - part.burstTokens,
        levelTokens - part.levelTokens);
  }

  /**
   * Returns the part of this share that fits into the given amounts. It has more than the given
   * level when what stays could not keep its tokens otherwise.
   */
  public TokenShare part(double rate, double burst, double level) {
    double partBurst = Math.min(burstTokens, Math.max(0, burst));
    double overflow = levelTokens - (burstTokens - partBurst);
    return new TokenShare(
        Math.min(rateTokensPerSecond, Math.max(0, rate)),
        partBurst,
        Math.min(partBurst, Math.max(overflow, Math.min(levelTokens, Math.max(0, level)))));
  }

  /** Returns true if every part is zero. */
  public boolean isEmpty() {
    return rateTokensPerSecond == 0 && burstTokens == 0 && levelTokens == 0;
  }

  private static double withoutRounding(double value) {
    return value < 0 && value > -ROUNDING ? 0 : value;
  }

  private static void checkPart(double value, String name) {
    Assert.isTrue(value >= 0 && Double.isFinite(value), name + " must be 0 or more: " + value);
  }
}
