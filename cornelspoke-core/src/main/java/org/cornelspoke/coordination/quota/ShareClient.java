package org.cornelspoke.coordination.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;
import org.cornelspoke.coordination.quota.ShareMessage.Grant;
import org.cornelspoke.coordination.quota.ShareMessage.Report;
import org.cornelspoke.coordination.quota.ShareMessage.Return;
import org.cornelspoke.coordination.quota.ShareMessage.UnrecordedShare;
import org.cornelspoke.model.AccountId;

/**
 * The holder's side of the share protocol for one account: session, sequence numbers and lease. The
 * held share is in the bucket passed to the constructor.
 */
final class ShareClient {

  /** Shortest interval between reports that request tokens; about one round trip to the owner. */
  private static final long MIN_REQUEST_INTERVAL_NANOS = 5_000_000L;

  /**
   * Longest interval between reports that request tokens. The owner remembers the waiting requests,
   * so more frequent reports help little.
   */
  private static final long MAX_REQUEST_INTERVAL_NANOS = 80_000_000L;

  private static final double MIN_RETURNED_BURST_TOKENS = 0.5;
  private static final double ROUNDING = 1e-7;

  private record SentReport(long sequence, long sentAtNanos) {}

  private final AccountId account;
  private final TokenBucket bucket;
  private final Consumer<ShareMessage> toOwner;
  private final Deque<SentReport> unacknowledgedReports = new ArrayDeque<>();
  private boolean connected;
  private long session;
  private long sequence;
  private boolean leased;
  private long leaseEndNanos;
  private long lastReportAtNanos;
  private long grantedLeaseNanos = Long.MAX_VALUE;
  private long requestIntervalNanos = MIN_REQUEST_INTERVAL_NANOS;
  private SentReport acknowledgedReport;
  private double targetBurst = Double.MAX_VALUE;
  private Optional<Exhaustion> exhaustion = Optional.empty();
  private long exhaustedEndNanos;

  ShareClient(AccountId account, TokenBucket bucket, Consumer<ShareMessage> toOwner) {
    this.account = account;
    this.bucket = bucket;
    this.toOwner = toOwner;
  }

  /** Starts a session with a number greater than any before and returns the number. */
  long open(long minSession) {
    connected = true;
    startSession(Math.max(minSession, session + 1));
    return session;
  }

  /** Stops sending; the held share stays usable until the lease ends. */
  void close() {
    connected = false;
    startSession(session + 1);
  }

  boolean isConnected() {
    return connected;
  }

  boolean hasLease(long nowNanos) {
    return leased && nowNanos - leaseEndNanos < 0;
  }

  /** Returns true if the lease has expired but was not ended by {@link #endLease}. */
  boolean isLeaseExpired(long nowNanos) {
    return leased && nowNanos - leaseEndNanos >= 0;
  }

  long leaseEndNanos() {
    return leaseEndNanos;
  }

  /** Returns true if the session has not sent a report yet or the last one is at least this old. */
  boolean reportIsOlderThan(long ageNanos, long nowNanos) {
    return sequence == 0 || nowNanos - lastReportAtNanos >= ageNanos;
  }

  /** Returns the duration of the lease in the last grant, or the largest value without one. */
  long grantedLeaseNanos() {
    return grantedLeaseNanos;
  }

  /** Returns true if a report for waiting requests may be sent outside the report interval. */
  boolean mayRequest(long nowNanos) {
    return reportIsOlderThan(requestIntervalNanos, nowNanos);
  }

  /**
   * Ends the lease and starts a session that holds nothing. The caller empties the bucket.
   *
   * @return the number of the new session
   */
  long endLease() {
    leased = false;
    startSession(session + 1);
    return session;
  }

  /**
   * Sends a report and returns burst that is neither wanted by the owner's last grant nor in use.
   *
   * @param issuedShare capacity issued to other holders
   */
  void report(
      TokenShare issuedShare, ClassAmounts demandPerSecond, ClassAmounts waiting, long nowNanos) {
    if (!connected) {
      return;
    }
    TokenShare returned = sequence == 0 ? TokenShare.EMPTY : takeUnusedBurst(issuedShare, nowNanos);
    sequence++;
    unacknowledgedReports.add(new SentReport(sequence, nowNanos));
    lastReportAtNanos = nowNanos;
    if (waiting.total() > 0) {
      requestIntervalNanos = Math.min(MAX_REQUEST_INTERVAL_NANOS, 2 * requestIntervalNanos);
    }
    TokenShare held = bucket.snapshot(nowNanos).merge(issuedShare);
    toOwner.accept(
        new Report(
            account,
            session,
            sequence,
            held,
            returned,
            demandPerSecond,
            waiting,
            hasLease(nowNanos) ? leaseEndNanos - nowNanos : 0));
  }

  /** Informs the owner of a share that a daemon uses until its lease ends. */
  void sendUnrecordedShare(TokenShare share, long remainingLeaseNanos) {
    if (connected) {
      toOwner.accept(new UnrecordedShare(account, session, share, remainingLeaseNanos));
    }
  }

  private TokenShare takeUnusedBurst(TokenShare issuedShare, long nowNanos) {
    TokenShare local = bucket.snapshot(nowNanos);
    double excess = local.burstTokens() + issuedShare.burstTokens() - targetBurst;
    double unusedBurst = Math.min(excess, local.burstTokens() - local.levelTokens());
    return unusedBurst < MIN_RETURNED_BURST_TOKENS
        ? TokenShare.EMPTY
        : bucket.remove(0, unusedBurst, 0, nowNanos);
  }

  boolean isCurrent(ShareMessage message) {
    return connected && message.session() == session;
  }

  /** Adds a grant to the bucket and renews the lease. */
  void onGrant(Grant grant, long nowNanos) {
    while (!unacknowledgedReports.isEmpty()
        && unacknowledgedReports.peek().sequence() <= grant.acknowledgedSequence()) {
      acknowledgedReport = unacknowledgedReports.poll();
    }
    if (acknowledgedReport != null
        && acknowledgedReport.sequence() == grant.acknowledgedSequence()) {
      long newLeaseEndNanos = acknowledgedReport.sentAtNanos() + grant.leaseNanos();
      if (!leased || newLeaseEndNanos - leaseEndNanos > 0) {
        leaseEndNanos = newLeaseEndNanos;
        leased = true;
      }
    }
    grantedLeaseNanos = grant.leaseNanos();
    targetBurst = grant.targetBurst();
    exhaustion = grant.exhaustion();
    exhaustedEndNanos = nowNanos + exhaustion.map(Exhaustion::nanos).orElse(0L);
    if (grant.added().levelTokens() >= 1) {
      requestIntervalNanos = MIN_REQUEST_INTERVAL_NANOS;
    }
    bucket.add(grant.added(), nowNanos);
  }

  /** Returns the account's exhaustion according to the owner's last grant. */
  Optional<Exhaustion> exhaustion(long nowNanos) {
    long remainingNanos = exhaustedEndNanos - nowNanos;
    return remainingNanos > 0
        ? exhaustion.map(state -> new Exhaustion(state.highest(), remainingNanos))
        : Optional.empty();
  }

  /** Returns capacity in excess of the amounts to keep. */
  void onRecall(TokenShare keep, long nowNanos) {
    TokenShare held = bucket.snapshot(nowNanos);
    double level = Math.max(0, held.levelTokens() - keep.levelTokens());
    double burst = Math.max(level, held.burstTokens() - keep.burstTokens());
    returnCapacity(held.rateTokensPerSecond() - keep.rateTokensPerSecond(), burst, level, nowNanos);
  }

  /**
   * Returns whole tokens of burst that exceed the target of the owner's last grant and hold no
   * tokens. Until they are returned, the owner's bucket cannot refill by that amount.
   */
  void returnSpentBurst(TokenShare issuedShare, long nowNanos) {
    TokenShare local = bucket.snapshot(nowNanos);
    double excess = local.burstTokens() + issuedShare.burstTokens() - targetBurst;
    double spentBurst = Math.min(excess, local.burstTokens() - local.levelTokens());
    if (spentBurst >= 1 - ROUNDING) {
      returnCapacity(0, spentBurst, 0, nowNanos);
    }
  }

  /** Removes the given amounts from the bucket and returns them to the owner. */
  void returnCapacity(double rate, double burst, double level, long nowNanos) {
    if (connected && sequence > 0) {
      TokenShare returned = bucket.remove(rate, burst, level, nowNanos);
      sequence++;
      toOwner.accept(new Return(account, session, sequence, returned));
    }
  }

  private void startSession(long newSession) {
    session = newSession;
    sequence = 0;
    unacknowledgedReports.clear();
    acknowledgedReport = null;
    targetBurst = Double.MAX_VALUE;
  }
}
