package org.cornelspoke.bench.load;

/** The token bucket that an account would see if all daemons were one. */
final class ReferenceBucket {

  private final double tokensPerNano;
  private final double burst;
  private double level;
  private long lastNanos;

  ReferenceBucket(double rateTokensPerSecond, double burstTokens, long nowNanos) {
    this.tokensPerNano = rateTokensPerSecond / 1e9;
    this.burst = burstTokens;
    this.level = burstTokens;
    this.lastNanos = nowNanos;
  }

  /** Takes a token and returns true if one is there. */
  boolean tryTake(long nowNanos) {
    level = Math.min(burst, level + (nowNanos - lastNanos) * tokensPerNano);
    lastNanos = nowNanos;
    if (level < 1) {
      return false;
    }
    level -= 1;
    return true;
  }
}
