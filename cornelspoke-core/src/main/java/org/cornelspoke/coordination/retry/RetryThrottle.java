package org.cornelspoke.coordination.retry;

/**
 * Bounds the extra attempts of a daemon to a ratio of the requests that it forwards, so that
 * retries fade under overload.
 *
 * <p>Not safe for use by several threads.
 */
public interface RetryThrottle {

  /** Counts a first attempt. */
  void onRequest(long nowNanos);

  /** Takes one extra attempt if the ratio allows it. */
  boolean tryRetry(long nowNanos);

  /** Sets the extra attempts per request, between 0 and 1. */
  void setRatio(double ratio);
}
