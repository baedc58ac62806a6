package org.cornelspoke.coordination.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;
import org.cornelspoke.coordination.quota.ShareMessage.Carried;
import org.cornelspoke.coordination.quota.ShareMessage.Grant;
import org.cornelspoke.coordination.quota.ShareMessage.Report;
import org.cornelspoke.coordination.quota.ShareMessage.Return;
import org.cornelspoke.model.AccountId;

/**
 * A holder's side of the conversation with the owner about one account: session, sequence numbers
 * and lease. What is held lies in the bucket given to it.
 */
final class ShareLink {

  /** Shortest time between two requests for more; a round trip to the owner takes about as long. */
  private static final long MIN_ASK_NANOS = 5_000_000L;

  /** Longest time; the owner remembers the waiting requests, so asking more often helps little. */
  private static final long MAX_ASK_NANOS = 80_000_000L;

  private static final double MIN_RETURNED_BURST = 0.5;
  private static final double ROUNDING = 1e-7;

  private record SentReport(long sequence, long sentNanos) {}

  private final AccountId account;
  private final TokenBucket bucket;
  private final Consumer<ShareMessage> toOwner;
  private final Deque<SentReport> unanswered = new ArrayDeque<>();
  private boolean connected;
  private long session;
  private long sequence;
  private boolean leased;
  private long leaseEndNanos;
  private long lastReportNanos;
  private long askNanos = MIN_ASK_NANOS;
  private SentReport answered;
  private double targetBurst = Double.MAX_VALUE;
  private Optional<Exhaustion> exhaustion = Optional.empty();
  private long exhaustedEndNanos;

  ShareLink(AccountId account, TokenBucket bucket, Consumer<ShareMessage> toOwner) {
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

  /** Stops sending; what is held stays usable until the lease ends. */
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

  /** Returns true if a lease has ended and was not yet dropped. */
  boolean leaseHasEnded(long nowNanos) {
    return leased && nowNanos - leaseEndNanos >= 0;
  }

  long leaseEndNanos() {
    return leaseEndNanos;
  }

  /** Returns true if the session has not sent a report yet or the last one is older. */
  boolean reportIsOlderThan(long ageNanos, long nowNanos) {
    return sequence == 0 || nowNanos - lastReportNanos >= ageNanos;
  }

  /** Returns true if the owner may be asked for waiting requests outside of the usual interval. */
  boolean mayAsk(long nowNanos) {
    return reportIsOlderThan(askNanos, nowNanos);
  }

  /**
   * Ends the lease and starts a session that holds nothing. The caller empties the bucket.
   *
   * @return the number of the new session
   */
  long dropLease() {
    leased = false;
    startSession(session + 1);
    return session;
  }

  /**
   * Sends a report and gives up burst that is neither wanted by the owner's last grant nor in use.
   *
   * @param passedOn what was passed on to others
   */
  void report(
      TokenShare passedOn, ClassAmounts demandPerSecond, ClassAmounts waiting, long nowNanos) {
    if (!connected) {
      return;
    }
    TokenShare returned = sequence == 0 ? TokenShare.EMPTY : takeUnused(passedOn, nowNanos);
    sequence++;
    unanswered.add(new SentReport(sequence, nowNanos));
    lastReportNanos = nowNanos;
    if (waiting.total() > 0) {
      askNanos = Math.min(MAX_ASK_NANOS, 2 * askNanos);
    }
    TokenShare held = bucket.share(nowNanos).merge(passedOn);
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

  /** Tells the owner of a share that a daemon uses until its lease ends. */
  void carry(TokenShare share, long leaseLeftNanos) {
    if (connected) {
      toOwner.accept(new Carried(account, session, share, leaseLeftNanos));
    }
  }

  private TokenShare takeUnused(TokenShare passedOn, long nowNanos) {
    TokenShare own = bucket.share(nowNanos);
    double excess = own.burstTokens() + passedOn.burstTokens() - targetBurst;
    double unused = Math.min(excess, own.burstTokens() - own.levelTokens());
    return unused < MIN_RETURNED_BURST ? TokenShare.EMPTY : bucket.remove(0, unused, 0, nowNanos);
  }

  boolean isCurrent(ShareMessage message) {
    return connected && message.session() == session;
  }

  /** Adds a grant to the bucket and renews the lease. */
  void onGrant(Grant grant, long nowNanos) {
    while (!unanswered.isEmpty() && unanswered.peek().sequence() <= grant.acknowledged()) {
      answered = unanswered.poll();
    }
    if (answered != null && answered.sequence() == grant.acknowledged()) {
      long end = answered.sentNanos() + grant.leaseNanos();
      if (!leased || end - leaseEndNanos > 0) {
        leaseEndNanos = end;
        leased = true;
      }
    }
    targetBurst = grant.targetBurst();
    exhaustion = grant.exhaustion();
    exhaustedEndNanos = nowNanos + exhaustion.map(Exhaustion::nanos).orElse(0L);
    if (grant.added().levelTokens() >= 1) {
      askNanos = MIN_ASK_NANOS;
    }
    bucket.add(grant.added(), nowNanos);
  }

  /** Returns whether the account is exhausted, by the owner's last grant. */
  Optional<Exhaustion> exhaustion(long nowNanos) {
    long leftNanos = exhaustedEndNanos - nowNanos;
    return leftNanos > 0
        ? exhaustion.map(state -> new Exhaustion(state.highest(), leftNanos))
        : Optional.empty();
  }

  /** Returns what exceeds the amounts to keep. */
  void onRecall(TokenShare keep, long nowNanos) {
    TokenShare held = bucket.share(nowNanos);
    double level = Math.max(0, held.levelTokens() - keep.levelTokens());
    double burst = Math.max(level, held.burstTokens() - keep.burstTokens());
    giveUp(held.rateTokensPerSecond() - keep.rateTokensPerSecond(), burst, level, nowNanos);
  }

  /**
   * Returns whole tokens of burst that the owner's last grant does not want here and that hold no
   * tokens any more. Until then the owner's bucket could not refill by as much.
   */
  void giveUpSpent(TokenShare passedOn, long nowNanos) {
    TokenShare own = bucket.share(nowNanos);
    double excess = own.burstTokens() + passedOn.burstTokens() - targetBurst;
    double spent = Math.min(excess, own.burstTokens() - own.levelTokens());
    if (spent >= 1 - ROUNDING) {
      giveUp(0, spent, 0, nowNanos);
    }
  }

  /** Takes a part out of the bucket and returns it to the owner. */
  void giveUp(double rate, double burst, double level, long nowNanos) {
    if (connected && sequence > 0) {
      TokenShare returned = bucket.remove(rate, burst, level, nowNanos);
      sequence++;
      toOwner.accept(new Return(account, session, sequence, returned));
    }
  }

  private void startSession(long newSession) {
    session = newSession;
    sequence = 0;
    unanswered.clear();
    answered = null;
    targetBurst = Double.MAX_VALUE;
  }
}
