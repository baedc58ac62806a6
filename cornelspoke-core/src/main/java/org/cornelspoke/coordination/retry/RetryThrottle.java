package org.cornelspoke.coordination.retry;

/**
 * Bounds the extra attempts of a daemon to a ratio of its forwarded requests, so that retries don't
 * amplify an overload.
 *
 * <p>Not safe for use by several threads.
 */
public interface RetryThrottle {

  /** Records the first attempt of a request. */
  void onRequest(long nowNanos);

  /** Consumes one extra attempt if available and returns true, otherwise returns false. */
  boolean tryRetry(long nowNanos);

  /** Sets the ratio of extra attempts to requests, between 0 and 1. */
  void setRatio(double ratio);
}
