package org.cornelspoke.coordination.quota;

/**
 * The tokens of one account that a daemon may use now: returned ones, single ones, and those of the
 * present and the former share.
 */
final class HeldTokens {

  private final TokenBucket bucket;
  private final ShareClient shareClient;
  private final TokenRequester tokenRequester;
  private final ReturnedTokens returnedTokens = new ReturnedTokens();
  private TokenBucket previousBucket;
  private long previousLeaseEndNanos;

  HeldTokens(TokenBucket bucket, ShareClient shareClient, TokenRequester tokenRequester) {
    this.bucket = bucket;
    this.shareClient = shareClient;
    this.tokenRequester = tokenRequester;
  }

  boolean tryTake(long nowNanos) {
    if (returnedTokens.tryTake(nowNanos)) {
      return true;
    }
    if (tokenRequester.tryTake(nowNanos)) {
      return true;
    }
    if (previousBucket != null && previousBucket.tryTake(nowNanos)) {
      return true;
    }
    return shareClient.hasLease(nowNanos) && bucket.tryTake(nowNanos);
  }

  /** Returns the number of whole tokens. */
  int count(long nowNanos) {
    int previous = previousBucket == null ? 0 : (int) previousBucket.level(nowNanos);
    return returnedTokens.count(nowNanos)
        + tokenRequester.tokens(nowNanos)
        + previous
        + (int) bucket.level(nowNanos);
  }

  /** Takes back the token of a request that did not run, or returns false if it is too old. */
  boolean addReturned(long grantedAtNanos, long nowNanos) {
    return returnedTokens.add(grantedAtNanos, nowNanos);
  }

  /** Keeps a copy of the present share until its lease ends. */
  void keepPreviousShare(long nowNanos) {
    previousBucket = new TokenBucket(nowNanos);
    previousBucket.add(bucket.snapshot(nowNanos), nowNanos);
    previousLeaseEndNanos = shareClient.leaseEndNanos();
  }

  boolean hasPreviousShare() {
    return previousBucket != null;
  }

  void removeExpiredShare(long nowNanos) {
    if (previousBucket != null && nowNanos - previousLeaseEndNanos >= 0) {
      previousBucket = null;
    }
  }
}
