package org.cornelspoke.coordination.quota;

/**
 * Rate, burst and level that a process holds itself. The level grows with local time, slowed by the
 * largest clock error, so that a fast clock adds no tokens that the account does not have.
 */
final class TokenBucket {

  /** Largest ratio of the speeds of two clocks. */
  static final double MAX_CLOCK_RATIO = 1.01;

  private static final double NANOS_PER_SECOND = 1e9;

  private double rate;
  private double burst;
  private double level;
  private long asOfNanos;

  TokenBucket(long nowNanos) {
    asOfNanos = nowNanos;
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

  TokenShare share(long nowNanos) {
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

  /** Takes out a part as {@link TokenShare#part} does; the rest stays. */
  TokenShare remove(double partRate, double partBurst, double partLevel, long nowNanos) {
    TokenShare all = share(nowNanos);
    TokenShare taken = all.part(partRate, partBurst, partLevel);
    TokenShare rest = all.without(taken);
    rate = rest.rateTokensPerSecond();
    burst = rest.burstTokens();
    level = rest.levelTokens();
    return taken;
  }

  void clear(long nowNanos) {
    rate = 0;
    burst = 0;
    level = 0;
    asOfNanos = nowNanos;
  }

  private void advance(long nowNanos) {
    long elapsedNanos = nowNanos - asOfNanos;
    if (elapsedNanos > 0) {
      level = Math.min(burst, level + rate * elapsedNanos / (NANOS_PER_SECOND * MAX_CLOCK_RATIO));
      asOfNanos = nowNanos;
    }
  }
}
