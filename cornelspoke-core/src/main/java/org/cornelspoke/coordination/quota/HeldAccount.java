package org.cornelspoke.coordination.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cornelspoke.coordination.quota.ShareMessage.Grant;
import org.cornelspoke.coordination.quota.ShareMessage.Recall;
import org.cornelspoke.coordination.quota.ShareMessage.Reset;
import org.cornelspoke.coordination.quota.ShareMessage.Tokens;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;

/**
 * One account at a daemon: the requests that wait for a token, the demand, and a share. While the
 * demand is small there is no share, and each request asks for a token of its own.
 */
final class HeldAccount {

  /**
   * Tokens kept on a voluntary recall, as time of the present demand. With 0.03 s a large holder
   * kept a dozen tokens while requests at small holders waited in vain.
   */
  private static final double KEEP_SECONDS = 0.01;

  /** Rate kept on a voluntary recall, as part of the present demand. */
  private static final double RATE_HEADROOM = 1.05;

  /** Change of demand that is reported without delay. */
  private static final double DEMAND_TOLERANCE = 0.15;

  /** Report intervals between reports of a steady demand; well below the lease. */
  private static final int STEADY_INTERVALS = 5;

  /**
   * Demand from which a share is held. Below it, a share is idle most of the time, and its reports
   * outnumber the requests.
   */
  private static final double SHARE_DEMAND_PER_SECOND = 2;

  /** Demand below which the share is given up. */
  private static final double NO_SHARE_DEMAND_PER_SECOND = 1;

  private static final double MILLIS_PER_SECOND = 1e3;
  private static final long MIN_RETRY_AFTER_MILLIS = 100;
  private static final long MAX_RETRY_AFTER_MILLIS = 30_000;

  /**
   * Time after its grant in which a token that was given back may be used. The account's bucket
   * refills meanwhile, so tokens that are used later would add to its burst.
   */
  private static final long GIVEN_BACK_NANOS = 200_000_000L;

  private final ShareTimes times;
  private final TokenBucket bucket;
  private final ShareLink link;
  private final TokenAsks asks;
  private final DemandMeter demand;
  private final TokenQueue waiters = new TokenQueue();
  private final Deque<Long> givenBackEndNanos = new ArrayDeque<>();
  private TokenBucket formerBucket;
  private long formerEndNanos;
  private long lastArrivalNanos;
  private long sessionUsed;
  private double reportedDemand;
  private ClassAmounts unasked = ClassAmounts.NONE;
  private boolean usesShare;
  private boolean serving;

  HeldAccount(AccountId account, ShareTimes times, Consumer<ShareMessage> toOwner, long nowNanos) {
    this.times = times;
    bucket = new TokenBucket(nowNanos);
    link = new ShareLink(account, bucket, toOwner);
    asks = new TokenAsks(account, times.askAgainNanos(), toOwner);
    demand = new DemandMeter(nowNanos);
    lastArrivalNanos = nowNanos;
  }

  void onConnected(long session, long nowNanos) {
    dropEndedLeases(nowNanos);
    sessionUsed = link.open(session);
    asks.open(session);
    unasked = waiters.sizeByClass();
    if (link.hasLease(nowNanos)) {
      // A new leader issues nothing before it knows what is held.
      report(nowNanos);
    }
  }

  void onDisconnected() {
    link.close();
    asks.close();
  }

  void onTokens(Tokens tokens, long nowNanos) {
    ClassAmounts asked = asks.onTokens(tokens, nowNanos);
    serve(nowNanos);
    tokens
        .exhaustion()
        .ifPresent(state -> waiters.refuseNewest(state, asked, retryAfterMillis(nowNanos)));
  }

  void onGrant(Grant grant, long nowNanos) {
    dropEndedLeases(nowNanos);
    if (!link.isCurrent(grant)) {
      return;
    }
    link.onGrant(grant, nowNanos);
    dropEndedLeases(nowNanos);
    asks.setExhausted(grant.exhaustion(), nowNanos);
    serve(nowNanos);
  }

  void onRecall(Recall recall, long nowNanos) {
    dropEndedLeases(nowNanos);
    if (!link.isCurrent(recall)) {
      return;
    }
    serve(nowNanos);
    if (recall.forced()) {
      link.onRecall(recall.keep(), nowNanos);
    } else if (waiters.isEmpty()) {
      double needed = demand.perSecond(nowNanos) * RATE_HEADROOM;
      double level = needed * KEEP_SECONDS;
      link.onRecall(new TokenShare(needed, level + 1, level), nowNanos);
    } else {
      link.giveUp(0, 0, 0, nowNanos);
    }
  }

  /**
   * Starts anew. The owner promised not to reissue the share before the lease ends, so it remains
   * usable until then; this covers the restart of an owner.
   */
  void onReset(Reset reset, long nowNanos) {
    dropEndedLeases(nowNanos);
    if (!link.isCurrent(reset)) {
      return;
    }
    if (link.hasLease(nowNanos)) {
      formerBucket = new TokenBucket(nowNanos);
      formerBucket.add(bucket.share(nowNanos), nowNanos);
      formerEndNanos = link.leaseEndNanos();
    }
    bucket.clear(nowNanos);
    sessionUsed = link.dropLease();
    report(nowNanos);
  }

  void onTick(long nowNanos) {
    dropEndedLeases(nowNanos);
    serve(nowNanos);
    waiters.refuseExpired(nowNanos, retryAfterMillis(nowNanos));
    if (isUnused(nowNanos)) {
      giveUpShare(nowNanos);
      return;
    }
    if (demand.windowIsOlderThan(times.reportNanos(), nowNanos)) {
      demand.roll(nowNanos);
      chooseShare(nowNanos);
      if (usesShare) {
        reportIfDue(nowNanos);
      }
    }
    if (!usesShare && !asks.isAsking(nowNanos)) {
      // Covers requests that wait longer than an ask is kept.
      unasked = waiters.sizeByClass();
    }
    askIfWaiting(nowNanos);
  }

  private void chooseShare(long nowNanos) {
    double perSecond = demand.perSecond(nowNanos);
    if (perSecond >= SHARE_DEMAND_PER_SECOND) {
      usesShare = true;
    } else if (usesShare && perSecond < NO_SHARE_DEMAND_PER_SECOND) {
      giveUpShare(nowNanos);
    }
  }

  private void giveUpShare(long nowNanos) {
    usesShare = false;
    link.giveUp(Double.MAX_VALUE, Double.MAX_VALUE, Double.MAX_VALUE, nowNanos);
    bucket.clear(nowNanos);
    sessionUsed = link.dropLease();
  }

  void acquire(
      TrafficClass trafficClass, long deadlineNanos, RateLimiter.Listener listener, long nowNanos) {
    dropEndedLeases(nowNanos);
    demand.onArrival(trafficClass, nowNanos);
    lastArrivalNanos = nowNanos;
    if (!waiters.hasBefore(trafficClass) && tryTake(nowNanos)) {
      listener.onGranted();
      return;
    }
    if (nowNanos - deadlineNanos >= 0
        || isExhausted(trafficClass, nowNanos)
        || !waiters.add(trafficClass, deadlineNanos, listener)) {
      listener.onRefused(retryAfterMillis(nowNanos));
      return;
    }
    unasked = unasked.plus(trafficClass, 1);
    serve(nowNanos);
    askIfWaiting(nowNanos);
  }

  TokenShare held(long nowNanos) {
    dropEndedLeases(nowNanos);
    return bucket.share(nowNanos);
  }

  /** Returns true if the object may be forgotten. */
  boolean isIdle(long nowNanos) {
    return isUnused(nowNanos) && formerBucket == null;
  }

  long nextSession() {
    return sessionUsed + 1;
  }

  private boolean isUnused(long nowNanos) {
    return waiters.isEmpty() && nowNanos - lastArrivalNanos >= times.idleNanos();
  }

  /** Reports a changed demand at once and a steady one at every fifth interval. */
  private void reportIfDue(long nowNanos) {
    double change = Math.abs(demand.perSecond(nowNanos) - reportedDemand);
    if (change > reportedDemand * DEMAND_TOLERANCE
        || link.reportIsOlderThan(STEADY_INTERVALS * times.reportNanos(), nowNanos)) {
      report(nowNanos);
    }
  }

  private void askIfWaiting(long nowNanos) {
    if (waiters.isEmpty()) {
      unasked = ClassAmounts.NONE;
    } else if (usesShare) {
      if (link.mayAsk(nowNanos)) {
        report(nowNanos);
      }
    } else if (unasked.total() > 0 && asks.mayAsk(nowNanos)) {
      asks.ask(unasked, nowNanos);
      unasked = ClassAmounts.NONE;
    }
  }

  private boolean isExhausted(TrafficClass trafficClass, long nowNanos) {
    double coming = bucket.rate() * times.usableWaitSeconds();
    return waiters.size() + 1 > coming
        && asks.exhaustion(nowNanos).filter(state -> state.includes(trafficClass)).isPresent();
  }

  private void serve(long nowNanos) {
    if (serving) {
      // A request that is granted, refused by a throttle and gives its token back ends up here.
      return;
    }
    serving = true;
    try {
      while (!waiters.isEmpty() && tryTake(nowNanos)) {
        waiters.poll().onGranted();
      }
    } finally {
      serving = false;
    }
    link.giveUpSpent(TokenShare.EMPTY, nowNanos);
  }

  /** Takes back a token; it serves another request here or is lost. */
  void giveBack(long takenNanos, long nowNanos) {
    if (nowNanos - takenNanos < GIVEN_BACK_NANOS) {
      givenBackEndNanos.add(takenNanos + GIVEN_BACK_NANOS);
      serve(nowNanos);
    }
  }

  private boolean tryTakeGivenBack(long nowNanos) {
    while (!givenBackEndNanos.isEmpty() && nowNanos - givenBackEndNanos.peek() >= 0) {
      givenBackEndNanos.poll();
    }
    return givenBackEndNanos.poll() != null;
  }

  private boolean tryTake(long nowNanos) {
    if (tryTakeGivenBack(nowNanos)) {
      return true;
    }
    if (asks.tryTake(nowNanos)) {
      return true;
    }
    if (formerBucket != null && formerBucket.tryTake(nowNanos)) {
      return true;
    }
    return link.hasLease(nowNanos) && bucket.tryTake(nowNanos);
  }

  private void dropEndedLeases(long nowNanos) {
    if (formerBucket != null && nowNanos - formerEndNanos >= 0) {
      formerBucket = null;
    }
    if (link.leaseHasEnded(nowNanos)) {
      bucket.clear(nowNanos);
      sessionUsed = link.dropLease();
    }
  }

  private void report(long nowNanos) {
    unasked = ClassAmounts.NONE;
    reportedDemand = demand.perSecond(nowNanos);
    link.report(
        TokenShare.EMPTY, demand.perSecondByClass(nowNanos), waiters.sizeByClass(), nowNanos);
  }

  private long retryAfterMillis(long nowNanos) {
    double millis =
        bucket.rate() > 0
            ? MILLIS_PER_SECOND * (waiters.size() + 1) / bucket.rate()
            : MILLIS_PER_SECOND;
    long boundedMillis = (long) Math.min(MAX_RETRY_AFTER_MILLIS, millis);
    long exhaustedMillis = TimeUnit.NANOSECONDS.toMillis(asks.exhaustedNanos(nowNanos));
    return Math.max(MIN_RETRY_AFTER_MILLIS, Math.max(exhaustedMillis, boundedMillis));
  }
}
