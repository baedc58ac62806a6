package org.cornelspoke.coordination.quota;

/**
 * A local token bucket. The level grows with local time, slowed by the largest clock error, so that
 * a fast clock adds no tokens that the account does not have.
 */
final class TokenBucket {

  /** Largest ratio of the speeds of two clocks. */
  static final double MAX_CLOCK_RATIO = 1.01;

  private static final double NANOS_PER_SECOND = 1e9;

  private double rate;
  private double burst;
  private double level;
  private long updatedAtNanos;

  TokenBucket(long nowNanos) {
    updatedAtNanos = nowNanos;
  }

  double rate() {
    return rate;
  }

  double burst() {
    return burst;
  }

  double level(long nowNanos) {
    advance(nowNanos);
    return level;
  }

  TokenShare snapshot(long nowNanos) {
    advance(nowNanos);
    return new TokenShare(rate, burst, level);
  }

  boolean tryTake(long nowNanos) {
    advance(nowNanos);
    if (level < 1) {
      return false;
    }
    level -= 1;
    return true;
  }

  void add(TokenShare share, long nowNanos) {
    advance(nowNanos);
    rate += share.rateTokensPerSecond();
    burst += share.burstTokens();
    level = Math.min(burst, level + share.levelTokens());
  }

  /** Removes and returns a portion as {@link TokenShare#limitTo} does; the rest stays. */
  TokenShare remove(double removedRate, double removedBurst, double removedLevel, long nowNanos) {
    TokenShare current = snapshot(nowNanos);
    TokenShare taken = current.limitTo(removedRate, removedBurst, removedLevel);
    TokenShare rest = current.minus(taken);
    rate = rest.rateTokensPerSecond();
    burst = rest.burstTokens();
    level = rest.levelTokens();
    return taken;
  }

  void clear(long nowNanos) {
    rate = 0;
    burst = 0;
    level = 0;
    updatedAtNanos = nowNanos;
  }

  private void advance(long nowNanos) {
    long elapsedNanos = nowNanos - updatedAtNanos;
    if (elapsedNanos > 0) {
      level = Math.min(burst, level + rate * elapsedNanos / (NANOS_PER_SECOND * MAX_CLOCK_RATIO));
      updatedAtNanos = nowNanos;
    }
  }
}
