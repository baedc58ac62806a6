package org.cornelspoke.coordination.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.cornelspoke.coordination.quota.ShareMessage.Ask;
import org.cornelspoke.coordination.quota.ShareMessage.Grant;
import org.cornelspoke.coordination.quota.ShareMessage.Recall;
import org.cornelspoke.coordination.quota.ShareMessage.Report;
import org.cornelspoke.coordination.quota.ShareMessage.Reset;
import org.cornelspoke.coordination.quota.ShareMessage.Return;
import org.cornelspoke.model.AccountId;

/** One account at a relay: a link to the leader and a book of the daemons over one bucket. */
final class RelayedAccount {

  /** Leases given end this much earlier than the relay's own, since clock speeds differ. */
  private static final double LEASE_PART = 0.98;

  /** Time for which a recall of the leader also takes what daemons return meanwhile. */
  private static final long RECALL_NANOS = 30_000_000L;

  private final ShareTimes times;
  private final TokenBucket spare;
  private final ShareLink link;
  private final ShareBook book;
  private TokenShare forcedKeep;
  private boolean wantedByOwner;
  private long recallEndNanos;
  private long lastReportFromHolderNanos;
  private long sessionUsed;
  private final List<CarriedShare> carried = new ArrayList<>();

  /** A share that a daemon got elsewhere and uses until its lease ends. */
  private record CarriedShare(TokenShare share, long endNanos) {}

  RelayedAccount(
      AccountId account,
      ShareTimes times,
      Consumer<ShareMessage> toOwner,
      BiConsumer<String, ShareMessage> toHolder,
      long nowNanos) {
    this.times = times;
    spare = new TokenBucket(nowNanos);
    link = new ShareLink(account, spare, toOwner);
    book =
        new ShareBook(
            account, spare, toHolder, this::leaseNanos, this::exhaustion, times, nowNanos);
    lastReportFromHolderNanos = nowNanos;
  }

  void onConnected(long session, long nowNanos) {
    dropEndedLease(nowNanos);
    forcedKeep = null;
    sessionUsed = link.open(session);
    if (link.hasLease(nowNanos)) {
      report(nowNanos);
    }
    dropEndedCarried(nowNanos);
    carried.forEach(share -> link.carry(share.share(), share.endNanos() - nowNanos));
  }

  void onDisconnected() {
    link.close();
  }

  void onGrant(Grant grant, long nowNanos) {
    dropEndedLease(nowNanos);
    if (!link.isCurrent(grant)) {
      return;
    }
    link.onGrant(grant, nowNanos);
    dropEndedLease(nowNanos);
    book.serveWaiting(nowNanos);
  }

  void onRecall(Recall recall, long nowNanos) {
    dropEndedLease(nowNanos);
    if (!link.isCurrent(recall)) {
      return;
    }
    if (recall.forced()) {
      forcedKeep = recall.keep();
      recallEndNanos = nowNanos + RECALL_NANOS;
      returnForced(nowNanos);
      return;
    }
    wantedByOwner = true;
    recallEndNanos = nowNanos + RECALL_NANOS;
    if (!returnUnneeded(nowNanos)) {
      link.giveUp(0, 0, 0, nowNanos);
    }
    book.recallFromSatisfied(nowNanos);
  }

  /** Starts anew; the daemons learn it by a reset of their own and use their leases up. */
  void onReset(Reset reset, long nowNanos) {
    if (link.isCurrent(reset)) {
      dropAll(nowNanos);
      report(nowNanos);
    }
  }

  void onReport(String holder, Report report, long nowNanos) {
    prepare(nowNanos);
    lastReportFromHolderNanos = nowNanos;
    if (!book.onReport(holder, report, false, nowNanos) && report.leaseLeftNanos() > 0) {
      dropEndedCarried(nowNanos);
      carried.add(new CarriedShare(report.held(), nowNanos + report.leaseLeftNanos()));
      link.carry(report.held(), report.leaseLeftNanos());
    }
    serve(nowNanos);
  }

  void onAsk(String holder, Ask ask, long nowNanos) {
    prepare(nowNanos);
    lastReportFromHolderNanos = nowNanos;
    book.onAsk(holder, ask, nowNanos);
    serve(nowNanos);
  }

  void onReturn(String holder, Return returned, long nowNanos) {
    prepare(nowNanos);
    book.onReturn(holder, returned, nowNanos);
    serve(nowNanos);
    returnForced(nowNanos);
    if (wantedByOwner) {
      returnUnneeded(nowNanos);
    }
    link.giveUpSpent(book.passedOn(), nowNanos);
  }

  void onTick(long nowNanos) {
    prepare(nowNanos);
    returnForced(nowNanos);
    serve(nowNanos);
    link.giveUpSpent(book.passedOn(), nowNanos);
    book.rollDemand(times.reportNanos(), nowNanos);
    if (link.reportIsOlderThan(times.reportNanos(), nowNanos)) {
      report(nowNanos);
    }
  }

  /** Returns true if no daemon has used the account for a while and nothing is issued. */
  boolean isIdle(long nowNanos) {
    if (nowNanos - lastReportFromHolderNanos < times.idleNanos() || !book.isEmpty()) {
      return false;
    }
    link.giveUp(Double.MAX_VALUE, Double.MAX_VALUE, Double.MAX_VALUE, nowNanos);
    sessionUsed = link.dropLease();
    return true;
  }

  long nextSession() {
    return sessionUsed + 1;
  }

  private long leaseNanos(long nowNanos) {
    long remainingNanos = link.hasLease(nowNanos) ? link.leaseEndNanos() - nowNanos : 0;
    return (long) (Math.min(times.leaseNanos(), remainingNanos) * LEASE_PART);
  }

  private Optional<Exhaustion> exhaustion(ShareBook shares, long nowNanos) {
    return shares.hasEnoughWaiting(nowNanos) ? link.exhaustion(nowNanos) : Optional.empty();
  }

  private void prepare(long nowNanos) {
    dropEndedLease(nowNanos);
    if (nowNanos - recallEndNanos >= 0) {
      // The leader repeats a recall that is still needed.
      forcedKeep = null;
      wantedByOwner = false;
    }
    book.releaseExpired(nowNanos);
  }

  private void serve(long nowNanos) {
    book.serveWaiting(nowNanos);
    if (book.waiting().total() > 0 && link.mayAsk(nowNanos)) {
      report(nowNanos);
    }
  }

  /** Returns what a forced recall asked for, as far as the daemons have given it up. */
  private void returnForced(long nowNanos) {
    if (forcedKeep == null) {
      return;
    }
    double rate = book.rate() - forcedKeep.rateTokensPerSecond();
    double burst = book.burst() - forcedKeep.burstTokens();
    if (rate > 0 || burst > 0) {
      link.giveUp(rate, burst, 0, nowNanos);
    }
    double missingRate = book.rate() - forcedKeep.rateTokensPerSecond();
    double missingBurst = book.burst() - forcedKeep.burstTokens();
    if (missingRate <= 0 && missingBurst <= 0) {
      forcedKeep = null;
    } else {
      book.recallForced(missingRate, missingBurst, nowNanos);
    }
  }

  /** Returns the spare capacity to the leader unless a daemon waits for it. */
  private boolean returnUnneeded(long nowNanos) {
    book.serveWaiting(nowNanos);
    if (book.waiting().total() > 0 || spare.burst() <= 0) {
      return false;
    }
    link.giveUp(Double.MAX_VALUE, Double.MAX_VALUE, Double.MAX_VALUE, nowNanos);
    return true;
  }

  private void report(long nowNanos) {
    link.report(book.passedOn(), book.demandPerSecond(nowNanos), book.waiting(), nowNanos);
  }

  private void dropEndedLease(long nowNanos) {
    if (link.leaseHasEnded(nowNanos)) {
      dropAll(nowNanos);
    }
  }

  private void dropEndedCarried(long nowNanos) {
    carried.removeIf(share -> nowNanos - share.endNanos() >= 0);
  }

  private void dropAll(long nowNanos) {
    book.clear();
    spare.clear(nowNanos);
    forcedKeep = null;
    sessionUsed = link.dropLease();
  }
}
