package org.cornelspoke.coordination.quota;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cornelspoke.coordination.quota.ShareMessage.Grant;
import org.cornelspoke.coordination.quota.ShareMessage.Recall;
import org.cornelspoke.coordination.quota.ShareMessage.Reset;
import org.cornelspoke.coordination.quota.ShareMessage.TokenReply;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;

/**
 * State of one account at a daemon: queued requests, measured demand and the rate share.
 *
 * <p>Below a minimum demand the daemon holds no share and requests single tokens instead.
 */
final class HeldAccount {

  /**
   * Tokens kept on a voluntary recall, in seconds of the current demand. With 0.03 s a large holder
   * kept a dozen tokens while requests at small holders waited until their deadline.
   */
  private static final double KEPT_TOKEN_SECONDS = 0.01;

  /** Rate kept on a voluntary recall, as a multiple of the current demand. */
  private static final double RATE_HEADROOM_FACTOR = 1.05;

  /** Relative change of demand that is reported without delay. */
  private static final double DEMAND_TOLERANCE_FRACTION = 0.15;

  /** Report intervals between reports of a steady demand; well below the lease duration. */
  private static final int STEADY_REPORT_INTERVALS = 5;

  /**
   * Demand from which a share is held. Below it, a share is idle most of the time and its reports
   * outnumber the requests.
   */
  private static final double SHARE_DEMAND_PER_SECOND = 2;

  /** Demand below which the share is released. */
  private static final double SHARE_RELEASE_DEMAND_PER_SECOND = 1;

  private static final double MILLIS_PER_SECOND = 1e3;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long MIN_RETRY_AFTER_MILLIS = 100;
  private static final long MAX_RETRY_AFTER_MILLIS = 30_000;

  private final ShareTimes times;
  private final TokenBucket bucket;
  private final ShareClient shareClient;
  private final TokenRequester tokenRequester;
  private final DemandMeter demand;
  private final TokenQueue waiters = new TokenQueue();
  private final HeldTokens tokens;
  private final ReturnSchedule returns;
  private long lastArrivalAtNanos;
  private long lastSession;
  private double reportedDemandPerSecond;
  private ClassAmounts unrequested = ClassAmounts.NONE;
  private boolean usesShare;
  private boolean serving;

  HeldAccount(
      AccountId account,
      ShareTimes times,
      Consumer<ShareMessage> toOwner,
      ReturnSchedule returns,
      long nowNanos) {
    this.times = times;
    this.returns = returns;
    bucket = new TokenBucket(nowNanos);
    shareClient = new ShareClient(account, bucket, toOwner);
    tokenRequester = new TokenRequester(account, times.tokenRequestRetryNanos(), toOwner);
    tokens = new HeldTokens(bucket, shareClient, tokenRequester);
    demand = new DemandMeter(nowNanos);
    lastArrivalAtNanos = nowNanos;
  }

  void onConnected(long session, long nowNanos) {
    removeExpiredLeases(nowNanos);
    lastSession = shareClient.open(session);
    tokenRequester.open(session);
    unrequested = waiters.sizeByClass();
    if (shareClient.hasLease(nowNanos)) {
      // A new leader issues nothing until it knows which shares are held.
      report(nowNanos);
    }
  }

  void onDisconnected() {
    shareClient.close();
    tokenRequester.close();
  }

  void onTokenReply(TokenReply reply, long nowNanos) {
    ClassAmounts requested = tokenRequester.onTokenReply(reply, nowNanos);
    serve(nowNanos);
    reply
        .exhaustion()
        .ifPresent(
            state ->
                refuse(
                    retryAfterMillis(nowNanos), waiters.removeNewest(state, requested), nowNanos));
  }

  void onGrant(Grant grant, long nowNanos) {
    removeExpiredLeases(nowNanos);
    if (!shareClient.isCurrent(grant)) {
      return;
    }
    shareClient.onGrant(grant, nowNanos);
    removeExpiredLeases(nowNanos);
    tokenRequester.setExhausted(grant.exhaustion(), nowNanos);
    serve(nowNanos);
  }

  void onRecall(Recall recall, long nowNanos) {
    removeExpiredLeases(nowNanos);
    if (!shareClient.isCurrent(recall)) {
      return;
    }
    serve(nowNanos);
    if (recall.forced()) {
      shareClient.onRecall(recall.keep(), nowNanos);
    } else if (waiters.isEmpty()) {
      double needed = demand.perSecond(nowNanos) * RATE_HEADROOM_FACTOR;
      double level =
          needed * KEPT_TOKEN_SECONDS + returns.reservedTokens(TrafficClass.BULK, false, nowNanos);
      shareClient.onRecall(new TokenShare(needed, level + 1, level), nowNanos);
    } else {
      shareClient.returnCapacity(0, 0, 0, nowNanos);
    }
  }

  /**
   * Starts a new session without a share. The owner does not reissue the old share before its lease
   * ends, so the share stays usable until then. This covers the restart of an owner.
   */
  void onReset(Reset reset, long nowNanos) {
    removeExpiredLeases(nowNanos);
    if (!shareClient.isCurrent(reset)) {
      return;
    }
    if (shareClient.hasLease(nowNanos)) {
      tokens.keepPreviousShare(nowNanos);
    }
    bucket.clear(nowNanos);
    lastSession = shareClient.endLease();
    report(nowNanos);
  }

  void onTick(long nowNanos) {
    removeExpiredLeases(nowNanos);
    serve(nowNanos);
    refuse(retryAfterMillis(nowNanos), waiters.removeExpired(nowNanos), nowNanos);
    if (isUnused(nowNanos)) {
      releaseShare(nowNanos);
      return;
    }
    if (demand.windowIsOlderThan(times.reportIntervalNanos(), nowNanos)) {
      demand.rollWindow(nowNanos);
      updateShareUse(nowNanos);
      if (usesShare) {
        reportIfDue(nowNanos);
      }
    }
    if (!usesShare && !tokenRequester.isReplyPending(nowNanos)) {
      // Covers requests that wait longer than the owner retains a token request.
      unrequested = waiters.sizeByClass();
    }
    requestTokensIfWaiting(nowNanos);
  }

  private void updateShareUse(long nowNanos) {
    double perSecond = demand.perSecond(nowNanos);
    if (perSecond >= SHARE_DEMAND_PER_SECOND) {
      usesShare = true;
    } else if (usesShare && perSecond < SHARE_RELEASE_DEMAND_PER_SECOND) {
      releaseShare(nowNanos);
    }
  }

  private void releaseShare(long nowNanos) {
    usesShare = false;
    shareClient.returnCapacity(Double.MAX_VALUE, Double.MAX_VALUE, Double.MAX_VALUE, nowNanos);
    bucket.clear(nowNanos);
    lastSession = shareClient.endLease();
  }

  void acquire(
      TrafficClass trafficClass,
      long deadlineNanos,
      CallerLimits limits,
      RateLimiter.Listener listener,
      long nowNanos) {
    removeExpiredLeases(nowNanos);
    demand.onArrival(trafficClass, nowNanos);
    lastArrivalAtNanos = nowNanos;
    Arrival arrival = returns.onArrival(trafficClass, limits, nowNanos);
    boolean early = arrival == Arrival.EARLY;
    TokenWaiter request = new TokenWaiter(trafficClass, deadlineNanos, limits, arrival, listener);
    if (!early && !waiters.hasAhead(request) && tryTake(request, nowNanos)) {
      listener.onGranted();
      return;
    }
    if (early
        || nowNanos - deadlineNanos >= 0
        || (!request.returning() && isExhausted(trafficClass, nowNanos))
        || !waiters.add(request)) {
      refuse(retryAfterMillis(nowNanos), List.of(request), nowNanos);
      return;
    }
    unrequested = unrequested.plus(trafficClass, 1);
    serve(nowNanos);
    requestTokensIfWaiting(nowNanos);
  }

  TokenShare heldShare(long nowNanos) {
    removeExpiredLeases(nowNanos);
    return bucket.snapshot(nowNanos);
  }

  /** Returns true if this state may be removed. */
  boolean isIdle(long nowNanos) {
    return isUnused(nowNanos) && !tokens.hasPreviousShare();
  }

  long nextSession() {
    return lastSession + 1;
  }

  private boolean isUnused(long nowNanos) {
    return waiters.isEmpty() && nowNanos - lastArrivalAtNanos >= times.idleTimeoutNanos();
  }

  /**
   * Reports a changed demand at once and a steady one at every fifth interval, or twice per lease
   * if that is sooner.
   */
  private void reportIfDue(long nowNanos) {
    double change = Math.abs(demand.perSecond(nowNanos) - reportedDemandPerSecond);
    if (change > reportedDemandPerSecond * DEMAND_TOLERANCE_FRACTION
        || shareClient.reportIsOlderThan(
            Math.min(
                STEADY_REPORT_INTERVALS * times.reportIntervalNanos(),
                Math.max(times.reportIntervalNanos(), shareClient.grantedLeaseNanos() / 2)),
            nowNanos)) {
      report(nowNanos);
    }
  }

  private void requestTokensIfWaiting(long nowNanos) {
    if (waiters.isEmpty()) {
      unrequested = ClassAmounts.NONE;
    } else if (usesShare) {
      if (shareClient.mayRequest(nowNanos)) {
        report(nowNanos);
      }
    } else if (unrequested.total() > 0 && tokenRequester.mayRequest(nowNanos)) {
      tokenRequester.request(unrequested, nowNanos);
      unrequested = ClassAmounts.NONE;
    }
  }

  private boolean isExhausted(TrafficClass trafficClass, long nowNanos) {
    double waitSeconds = times.usableWaitSeconds();
    long endNanos = nowNanos + (long) (waitSeconds * NANOS_PER_SECOND);
    int ahead = waiters.size() + returns.returnsBefore(trafficClass, endNanos, nowNanos);
    return ahead + 1 > bucket.rate() * waitSeconds
        && tokenRequester
            .exhaustion(nowNanos)
            .filter(state -> state.includes(trafficClass))
            .isPresent();
  }

  private void serve(long nowNanos) {
    if (serving) {
      // Reentrant call: a granted request was refused by a throttle and returned its token.
      return;
    }
    serving = true;
    try {
      while (!waiters.isEmpty() && tryTake(waiters.peek(), nowNanos)) {
        waiters.poll().listener().onGranted();
      }
    } finally {
      serving = false;
    }
    shareClient.returnSpentBurst(TokenShare.EMPTY, nowNanos);
  }

  /** Takes back a token, which serves another request of this daemon or lapses. */
  void returnToken(long grantedAtNanos, long nowNanos) {
    if (tokens.addReturned(grantedAtNanos, nowNanos)) {
      serve(nowNanos);
    }
  }

  /** Calls the listeners after the queue was updated, since they may add their next requests. */
  private void refuse(long retryAfterMillis, List<TokenWaiter> refused, long nowNanos) {
    for (TokenWaiter request : refused) {
      returns.refuse(request, () -> supply(nowNanos), retryAfterMillis, nowNanos);
    }
  }

  private TokenSupply supply(long nowNanos) {
    return new TokenSupply(
        bucket.rate(),
        demand.perSecondByClass(nowNanos),
        waiters.sizeByClass(),
        tokenRequester.exhaustedNanos(nowNanos));
  }

  /** Takes a token that isn't reserved for others. */
  private boolean tryTake(TokenWaiter request, long nowNanos) {
    int reserved = returns.reservedTokens(request.trafficClass(), request.returning(), nowNanos);
    if ((reserved > 0 && tokens.count(nowNanos) <= reserved) || !tokens.tryTake(nowNanos)) {
      return false;
    }
    returns.onTokenTaken(nowNanos);
    return true;
  }

  private void removeExpiredLeases(long nowNanos) {
    tokens.removeExpiredShare(nowNanos);
    if (shareClient.isLeaseExpired(nowNanos)) {
      bucket.clear(nowNanos);
      lastSession = shareClient.endLease();
    }
  }

  private void report(long nowNanos) {
    unrequested = ClassAmounts.NONE;
    reportedDemandPerSecond = demand.perSecond(nowNanos);
    shareClient.report(
        TokenShare.EMPTY, demand.perSecondByClass(nowNanos), waiting(nowNanos), nowNanos);
  }

  /** Returns the tokens that are needed for waiting requests and for returns, by class. */
  private ClassAmounts waiting(long nowNanos) {
    return waiters.sizeByClass().plus(returns.reservedByClass(nowNanos));
  }

  private long retryAfterMillis(long nowNanos) {
    double millis =
        bucket.rate() > 0
            ? MILLIS_PER_SECOND * (waiters.size() + 1) / bucket.rate()
            : MILLIS_PER_SECOND;
    long boundedMillis = (long) Math.min(MAX_RETRY_AFTER_MILLIS, millis);
    long exhaustedMillis = TimeUnit.NANOSECONDS.toMillis(tokenRequester.exhaustedNanos(nowNanos));
    return Math.max(MIN_RETRY_AFTER_MILLIS, Math.max(exhaustedMillis, boundedMillis));
  }
}
