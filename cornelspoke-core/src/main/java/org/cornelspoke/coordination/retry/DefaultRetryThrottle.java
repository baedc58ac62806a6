package org.cornelspoke.coordination.retry;

import org.cornelspoke.util.Assert;

/**
 * Allows {@code ratio} extra attempts per request plus one per second, so that a daemon with little
 * traffic may still retry. Unused attempts are kept up to a bound; a long quiet time therefore does
 * not allow a burst of retries later.
 *
 * <p>Not safe for use by several threads.
 */
public final class DefaultRetryThrottle implements RetryThrottle {

  /** Extra attempts that can be saved up; about one second of retries at 100 requests/s and 10%. */
  private static final double MAX_SAVED = 10;

  private static final double NANOS_PER_SECOND = 1e9;

  private double ratio;
  private double saved;
  private final double maxSaved;
  private final double minimumPerSecond;
  private double savedMinimum;
  private long minimumAsOfNanos;
  private boolean started;

  /**
   * Creates a throttle.
   *
   * @param ratio extra attempts per request, between 0 and 1
   */
  public DefaultRetryThrottle(double ratio) {
    this(ratio, MAX_SAVED, 1);
  }

  /**
   * Creates a throttle with bounds of its own.
   *
   * @param maxSaved unused extra attempts that are kept
   * @param minimumPerSecond extra attempts that need no requests
   */
  public DefaultRetryThrottle(double ratio, double maxSaved, double minimumPerSecond) {
    Assert.isTrue(maxSaved >= 0, "maxSaved must be 0 or more");
    Assert.isTrue(minimumPerSecond >= 0, "minimumPerSecond must be 0 or more");
    this.maxSaved = maxSaved;
    this.minimumPerSecond = minimumPerSecond;
    this.savedMinimum = Math.min(1, minimumPerSecond);
    setRatio(ratio);
  }

  @Override
  public void onRequest(long nowNanos) {
    saved = Math.min(maxSaved, saved + ratio);
  }

  @Override
  public boolean tryRetry(long nowNanos) {
    refillMinimum(nowNanos);
    if (saved >= 1) {
      saved -= 1;
      return true;
    }
    if (savedMinimum >= 1) {
      savedMinimum -= 1;
      return true;
    }
    return false;
  }

  @Override
  public void setRatio(double ratio) {
    Assert.isTrue(ratio >= 0 && ratio <= 1, "ratio must be between 0 and 1");
    this.ratio = ratio;
  }

  private void refillMinimum(long nowNanos) {
    if (started) {
      savedMinimum =
          Math.min(
              1,
              savedMinimum + minimumPerSecond * (nowNanos - minimumAsOfNanos) / NANOS_PER_SECOND);
    }
    started = true;
    minimumAsOfNanos = nowNanos;
  }
}
