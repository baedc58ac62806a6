package org.cornelspoke.bench.load;

/** Token bucket that an account would have in a single daemon; detects wrongful refusals. */
final class ReferenceBucket {

  private final double tokensPerNano;
  private final double burstTokens;
  private double availableTokens;
  private long refilledAtNanos;

  ReferenceBucket(double rateTokensPerSecond, double burstTokens, long nowNanos) {
    this.tokensPerNano = rateTokensPerSecond / 1e9;
    this.burstTokens = burstTokens;
    this.availableTokens = burstTokens;
    this.refilledAtNanos = nowNanos;
  }

  /** Takes a token and returns true, or returns false if none is available. */
  boolean tryTake(long nowNanos) {
    availableTokens =
        Math.min(burstTokens, availableTokens + (nowNanos - refilledAtNanos) * tokensPerNano);
    refilledAtNanos = nowNanos;
    if (availableTokens < 1) {
      return false;
    }
    availableTokens -= 1;
    return true;
  }
}
