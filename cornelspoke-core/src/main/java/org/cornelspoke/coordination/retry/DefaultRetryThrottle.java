package org.cornelspoke.coordination.retry;

import org.cornelspoke.util.Assert;

/**
 * Token buckets for extra attempts: each request adds {@code ratio} tokens, and a separate bucket
 * is refilled by time, by default with one token per second, so that a daemon with little traffic
 * can retry too. The size of the buckets is bounded, so an idle period does not allow a later burst
 * of retries.
 *
 * <p>Not safe for use by several threads.
 */
public final class DefaultRetryThrottle implements RetryThrottle {

  /** Bucket size; about one second of retries at 100 requests/s and a ratio of 10%. */
  private static final double DEFAULT_MAX_TOKENS = 10;

  private static final double NANOS_PER_SECOND = 1e9;

  private double ratio;
  private double tokens;
  private double maxTokens;
  private double minRetriesPerSecond;
  private double timedTokens;
  private long timedRefillAtNanos;
  private boolean refillStarted;

  /**
   * Creates a throttle with the default bucket size and one extra attempt per second.
   *
   * @param ratio extra attempts per request, between 0 and 1
   */
  public DefaultRetryThrottle(double ratio) {
    this(ratio, DEFAULT_MAX_TOKENS, 1);
  }

  /**
   * Creates a throttle with the given bucket size and time-based rate.
   *
   * @param maxTokens bucket size of unused extra attempts
   * @param minRetriesPerSecond extra attempts per second regardless of the number of requests
   */
  public DefaultRetryThrottle(double ratio, double maxTokens, double minRetriesPerSecond) {
    setBounds(maxTokens, minRetriesPerSecond);
    this.timedTokens = Math.min(1, minRetriesPerSecond);
    setRatio(ratio);
  }

  /** Replaces the bucket size and the time-based rate; unused attempts beyond them are lost. */
  void setBounds(double newMaxTokens, double newMinRetriesPerSecond) {
    Assert.isTrue(newMaxTokens >= 0, "maxTokens must be 0 or more");
    Assert.isTrue(newMinRetriesPerSecond >= 0, "minRetriesPerSecond must be 0 or more");
    maxTokens = newMaxTokens;
    tokens = Math.min(tokens, maxTokens);
    minRetriesPerSecond = newMinRetriesPerSecond;
    if (newMinRetriesPerSecond == 0) {
      timedTokens = 0;
    }
  }

  @Override
  public void onRequest(long nowNanos) {
    tokens = Math.min(maxTokens, tokens + ratio);
  }

  @Override
  public boolean tryRetry(long nowNanos) {
    refillTimedTokens(nowNanos);
    if (tokens >= 1) {
      tokens -= 1;
      return true;
    }
    if (timedTokens >= 1) {
      timedTokens -= 1;
      return true;
    }
    return false;
  }

  @Override
  public void setRatio(double ratio) {
    Assert.isTrue(ratio >= 0 && ratio <= 1, "ratio must be between 0 and 1");
    this.ratio = ratio;
  }

  private void refillTimedTokens(long nowNanos) {
    if (refillStarted) {
      timedTokens =
          Math.min(
              1,
              timedTokens
                  + minRetriesPerSecond * (nowNanos - timedRefillAtNanos) / NANOS_PER_SECOND);
    }
    refillStarted = true;
    timedRefillAtNanos = nowNanos;
  }
}
