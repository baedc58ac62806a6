package org.cornelspoke.coordination.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.cornelspoke.coordination.quota.ShareMessage.Grant;
import org.cornelspoke.coordination.quota.ShareMessage.Recall;
import org.cornelspoke.coordination.quota.ShareMessage.Report;
import org.cornelspoke.coordination.quota.ShareMessage.Reset;
import org.cornelspoke.coordination.quota.ShareMessage.Return;
import org.cornelspoke.coordination.quota.ShareMessage.TokenRequest;
import org.cornelspoke.model.AccountId;

/**
 * State of one account at a relay: the client of the leader and the allocator for the daemons,
 * which share one bucket.
 */
final class RelayedAccount {

  /** Leases for daemons end this much earlier than the relay's own, since clock speeds differ. */
  private static final double LEASE_FRACTION = 0.98;

  /** Time after a recall during which returned capacity is passed on to the leader. */
  private static final long RECALL_DURATION_NANOS = 30_000_000L;

  private final ShareTimes times;
  private final TokenBucket spare;
  private final ShareClient shareClient;
  private final ShareAllocator allocator;
  private TokenShare forcedKeep;
  private boolean voluntaryRecallPending;
  private long recallEndNanos;
  private long lastHolderMessageAtNanos;
  private long lastSession;
  private final List<UnrecordedLease> unrecordedLeases = new ArrayList<>();

  /** A share that this relay has no record of; the daemon uses it until its lease ends. */
  private record UnrecordedLease(TokenShare share, long endNanos) {}

  RelayedAccount(
      AccountId account,
      ShareTimes times,
      Consumer<ShareMessage> toOwner,
      BiConsumer<String, ShareMessage> toHolder,
      long nowNanos) {
    this.times = times;
    spare = new TokenBucket(nowNanos);
    shareClient = new ShareClient(account, spare, toOwner);
    allocator =
        new ShareAllocator(
            account, spare, toHolder, this::leaseNanos, this::exhaustion, times, nowNanos);
    lastHolderMessageAtNanos = nowNanos;
  }

  void onConnected(long session, long nowNanos) {
    removeExpiredLease(nowNanos);
    forcedKeep = null;
    lastSession = shareClient.open(session);
    if (shareClient.hasLease(nowNanos)) {
      report(nowNanos);
    }
    removeExpiredUnrecordedLeases(nowNanos);
    unrecordedLeases.forEach(
        lease -> shareClient.sendUnrecordedShare(lease.share(), lease.endNanos() - nowNanos));
  }

  void onDisconnected() {
    shareClient.close();
  }

  void onGrant(Grant grant, long nowNanos) {
    removeExpiredLease(nowNanos);
    if (!shareClient.isCurrent(grant)) {
      return;
    }
    shareClient.onGrant(grant, nowNanos);
    removeExpiredLease(nowNanos);
    allocator.serveWaiting(nowNanos);
  }

  void onRecall(Recall recall, long nowNanos) {
    removeExpiredLease(nowNanos);
    if (!shareClient.isCurrent(recall)) {
      return;
    }
    if (recall.forced()) {
      forcedKeep = recall.keep();
      recallEndNanos = nowNanos + RECALL_DURATION_NANOS;
      returnForced(nowNanos);
      return;
    }
    voluntaryRecallPending = true;
    recallEndNanos = nowNanos + RECALL_DURATION_NANOS;
    if (!returnSpareIfUnneeded(nowNanos)) {
      shareClient.returnCapacity(0, 0, 0, nowNanos);
    }
    allocator.recallVoluntary(nowNanos);
  }

  /**
   * Starts a new session without a share. The daemons are reset when they next report, and may use
   * their shares until the leases end.
   *
   * @return false if the reset belongs to a former session and is ignored
   */
  boolean onReset(Reset reset, long nowNanos) {
    if (!shareClient.isCurrent(reset)) {
      return false;
    }
    endLease(nowNanos);
    report(nowNanos);
    return true;
  }

  void onReport(String holder, Report report, long nowNanos) {
    prepare(nowNanos);
    lastHolderMessageAtNanos = nowNanos;
    if (!allocator.onReport(holder, report, false, nowNanos) && report.remainingLeaseNanos() > 0) {
      removeExpiredUnrecordedLeases(nowNanos);
      unrecordedLeases.add(
          new UnrecordedLease(report.held(), nowNanos + report.remainingLeaseNanos()));
      shareClient.sendUnrecordedShare(report.held(), report.remainingLeaseNanos());
    }
    serve(nowNanos);
  }

  void onTokenRequest(String holder, TokenRequest request, long nowNanos) {
    prepare(nowNanos);
    lastHolderMessageAtNanos = nowNanos;
    allocator.onTokenRequest(holder, request, nowNanos);
    serve(nowNanos);
  }

  void onReturn(String holder, Return returned, long nowNanos) {
    prepare(nowNanos);
    allocator.onReturn(holder, returned, nowNanos);
    serve(nowNanos);
    returnForced(nowNanos);
    if (voluntaryRecallPending) {
      returnSpareIfUnneeded(nowNanos);
    }
    shareClient.returnSpentBurst(allocator.issuedShare(), nowNanos);
  }

  void onTick(long nowNanos) {
    prepare(nowNanos);
    returnForced(nowNanos);
    serve(nowNanos);
    shareClient.returnSpentBurst(allocator.issuedShare(), nowNanos);
    allocator.rollDemandWindow(times.reportIntervalNanos(), nowNanos);
    if (shareClient.reportIsOlderThan(times.reportIntervalNanos(), nowNanos)) {
      report(nowNanos);
    }
  }

  /** Returns true if no daemon has used the account for the idle timeout and nothing is issued. */
  boolean isIdle(long nowNanos) {
    if (nowNanos - lastHolderMessageAtNanos < times.idleTimeoutNanos() || !allocator.isEmpty()) {
      return false;
    }
    shareClient.returnCapacity(Double.MAX_VALUE, Double.MAX_VALUE, Double.MAX_VALUE, nowNanos);
    lastSession = shareClient.endLease();
    return true;
  }

  long nextSession() {
    return lastSession + 1;
  }

  private long leaseNanos(long nowNanos) {
    long remainingNanos =
        shareClient.hasLease(nowNanos) ? shareClient.leaseEndNanos() - nowNanos : 0;
    return (long) (Math.min(times.daemonLeaseNanos(), remainingNanos) * LEASE_FRACTION);
  }

  private Optional<Exhaustion> exhaustion(ShareAllocator shareAllocator, long nowNanos) {
    return shareAllocator.hasSufficientBacklog(nowNanos)
        ? shareClient.exhaustion(nowNanos)
        : Optional.empty();
  }

  private void prepare(long nowNanos) {
    removeExpiredLease(nowNanos);
    if (nowNanos - recallEndNanos >= 0) {
      // The leader repeats a recall that is still needed.
      forcedKeep = null;
      voluntaryRecallPending = false;
    }
    allocator.releaseExpired(nowNanos);
  }

  private void serve(long nowNanos) {
    allocator.serveWaiting(nowNanos);
    if (allocator.waiting().total() > 0 && shareClient.mayRequest(nowNanos)) {
      report(nowNanos);
    }
  }

  /** Returns the capacity that a forced recall demands, as far as the daemons have returned it. */
  private void returnForced(long nowNanos) {
    if (forcedKeep == null) {
      return;
    }
    double rate = allocator.rate() - forcedKeep.rateTokensPerSecond();
    double burst = allocator.burst() - forcedKeep.burstTokens();
    if (rate > 0 || burst > 0) {
      shareClient.returnCapacity(rate, burst, 0, nowNanos);
    }
    double missingRate = allocator.rate() - forcedKeep.rateTokensPerSecond();
    double missingBurst = allocator.burst() - forcedKeep.burstTokens();
    if (missingRate <= 0 && missingBurst <= 0) {
      forcedKeep = null;
    } else {
      allocator.recallForced(missingRate, missingBurst, nowNanos);
    }
  }

  /** Returns the spare capacity to the leader unless a daemon is waiting for it. */
  private boolean returnSpareIfUnneeded(long nowNanos) {
    allocator.serveWaiting(nowNanos);
    if (allocator.waiting().total() > 0 || spare.burst() <= 0) {
      return false;
    }
    shareClient.returnCapacity(Double.MAX_VALUE, Double.MAX_VALUE, Double.MAX_VALUE, nowNanos);
    return true;
  }

  private void report(long nowNanos) {
    shareClient.report(
        allocator.issuedShare(),
        allocator.demandPerSecond(nowNanos),
        allocator.waiting(),
        nowNanos);
  }

  private void removeExpiredLease(long nowNanos) {
    if (shareClient.isLeaseExpired(nowNanos)) {
      endLease(nowNanos);
    }
  }

  private void removeExpiredUnrecordedLeases(long nowNanos) {
    unrecordedLeases.removeIf(lease -> nowNanos - lease.endNanos() >= 0);
  }

  private void endLease(long nowNanos) {
    allocator.clear();
    spare.clear(nowNanos);
    forcedKeep = null;
    lastSession = shareClient.endLease();
  }
}
