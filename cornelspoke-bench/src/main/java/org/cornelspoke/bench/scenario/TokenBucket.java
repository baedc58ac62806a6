package org.cornelspoke.bench.scenario;

/** A token bucket that starts full. */
final class TokenBucket {

  private final double tokensPerSecond;
  private final double burstTokens;
  private double availableTokens;
  private long refilledAtNanos;

  TokenBucket(double tokensPerSecond, double burstTokens) {
    this.tokensPerSecond = tokensPerSecond;
    this.burstTokens = burstTokens;
    availableTokens = burstTokens;
  }

  boolean tryTake(long nowNanos) {
    availableTokens =
        Math.min(
            burstTokens,
            availableTokens + tokensPerSecond * (nowNanos - refilledAtNanos) / VirtualTime.SECOND);
    refilledAtNanos = nowNanos;
    if (availableTokens < 1 - 1e-6) {
      return false;
    }
    availableTokens -= 1;
    return true;
  }
}
