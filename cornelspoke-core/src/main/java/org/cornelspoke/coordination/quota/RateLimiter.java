package org.cornelspoke.coordination.quota;

import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;

/**
 * Charges requests to the rate shares that this daemon holds.
 *
 * <p>Not safe for use by several threads; listeners run on the thread that owns the limiter.
 */
public interface RateLimiter {

  /**
   * Takes one token of the account, or waits for one until the deadline while spare capacity is
   * requested from the owner.
   *
   * @param listener called exactly once, possibly before the method returns
   */
  void acquire(AccountId account, long deadlineNanos, Listener listener, long nowNanos);

  /**
   * As {@link #acquire(AccountId, long, Listener, long)}, for a request of a known class. Among the
   * requests of an account that wait for a token, those of a higher class are served first.
   */
  default void acquire(
      AccountId account,
      TrafficClass trafficClass,
      long deadlineNanos,
      Listener listener,
      long nowNanos) {
    acquire(account, deadlineNanos, listener, nowNanos);
  }

  /**
   * As {@link #acquire(AccountId, TrafficClass, long, Listener, long)}, for a caller that has told
   * about its time and may be given a time at which to return.
   */
  default void acquire(
      AccountId account,
      TrafficClass trafficClass,
      long deadlineNanos,
      CallerLimits limits,
      Listener listener,
      long nowNanos) {
    acquire(account, trafficClass, deadlineNanos, listener, nowNanos);
  }

  /**
   * Takes back the token of a request that has not run and will not run, so that another request of
   * the account may use it. A limiter may let the token lapse, and does so if it is old.
   *
   * @param grantedAtNanos time when the token was granted
   */
  default void returnToken(AccountId account, long grantedAtNanos, long nowNanos) {}

  /**
   * Returns the share of the account that this daemon holds; empty if the limiter keeps no shares.
   */
  default TokenShare heldShare(AccountId account, long nowNanos) {
    return TokenShare.EMPTY;
  }

  /** Receives the result of {@link #acquire}. */
  interface Listener {

    /** A token was taken. */
    void onGranted();

    /**
     * The account is over its rate.
     *
     * @param retryAfterMillis time until a token is expected
     */
    void onRefused(long retryAfterMillis);

    /**
     * The account is over its rate, and a retry can't succeed within the caller's time.
     *
     * @param retryAfterMillis time after which the caller no longer waits for this request
     */
    default void onReturnImpossible(long retryAfterMillis) {
      onRefused(retryAfterMillis);
    }
  }
}
