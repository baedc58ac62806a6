package org.cornelspoke.bench.scenario;

/** An exact token bucket, full at the start. */
final class TokenCounter {

  private final double rate;
  private final double burst;
  private double level;
  private long asOfNanos;

  TokenCounter(double rate, double burst) {
    this.rate = rate;
    this.burst = burst;
    level = burst;
  }

  boolean tryTake(long nowNanos) {
    level = Math.min(burst, level + rate * (nowNanos - asOfNanos) / VirtualTime.SECOND);
    asOfNanos = nowNanos;
    if (level < 1 - 1e-6) {
      return false;
    }
    level -= 1;
    return true;
  }
}
