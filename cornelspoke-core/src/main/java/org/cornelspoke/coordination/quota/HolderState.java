package org.cornelspoke.coordination.quota;

/** What an owner has issued to one holder, and what the holder last reported. */
final class HolderState {

  /** How long a holder without a lease stays registered while its owner issues no leases. */
  private static final long UNLEASED_HOLDER_RETENTION_NANOS = 1_000_000_000L;

  private final String holder;
  private final long session;
  private long sequence;
  private long reportSequence;
  private double rate;
  private double burst;
  private ClassAmounts demandPerSecond = ClassAmounts.NONE;
  private ClassAmounts waiting = ClassAmounts.NONE;
  private double reportedLevel;
  private long reportedAtNanos;
  private long expiresAtNanos;
  private long recalledAtNanos;
  private boolean recalled;
  private boolean recallForced;

  HolderState(String holder, long session) {
    this.holder = holder;
    this.session = session;
  }

  String holder() {
    return holder;
  }

  long session() {
    return session;
  }

  /** Returns true if the sequence number is new; repeated messages are ignored. */
  boolean acceptSequence(long newSequence) {
    if (newSequence <= sequence) {
      return false;
    }
    sequence = newSequence;
    return true;
  }

  /** Returns the sequence number of the last report. */
  long reportSequence() {
    return reportSequence;
  }

  void adopt(TokenShare held) {
    rate = held.rateTokensPerSecond();
    burst = held.burstTokens();
  }

  void onReport(ShareMessage.Report report, long nowNanos) {
    reportSequence = report.sequence();
    demandPerSecond = report.demandPerSecond();
    waiting = report.waiting();
    reportedLevel = report.held().levelTokens();
    reportedAtNanos = nowNanos;
  }

  void onGranted(TokenShare added) {
    rate += added.rateTokensPerSecond();
    burst += added.burstTokens();
    reportedLevel += added.levelTokens();
    waiting = waiting.minusHighestFirst(Math.floor(added.levelTokens()));
  }

  /** Applies a return and returns the portion of it that was recorded as issued. */
  TokenShare onReturned(TokenShare returned) {
    TokenShare recorded = returned.limitTo(rate, burst, returned.levelTokens());
    rate -= recorded.rateTokensPerSecond();
    burst -= recorded.burstTokens();
    reportedLevel = Math.max(0, reportedLevel - recorded.levelTokens());
    if (!recallForced && recorded.rateTokensPerSecond() > 0) {
      // The holder kept the rate that it needs now.
      double demand = demandPerSecond.total();
      if (demand > rate) {
        demandPerSecond = demandPerSecond.times(rate / demand);
      }
    }
    return recorded;
  }

  /** Returns true unless the last recall is more recent than the interval. */
  boolean mayRecall(long intervalNanos, long nowNanos) {
    return !recalled || nowNanos - recalledAtNanos >= intervalNanos;
  }

  void onRecalled(boolean forced, long nowNanos) {
    recalled = true;
    recallForced = forced;
    recalledAtNanos = nowNanos;
  }

  /** Discards the reported waiting requests if their wait has ended since the report. */
  void removeStaleWaiting(long ageNanos, long nowNanos) {
    if (nowNanos - reportedAtNanos >= ageNanos) {
      waiting = ClassAmounts.NONE;
    }
  }

  double rate() {
    return rate;
  }

  double burst() {
    return burst;
  }

  ClassAmounts demandPerSecond() {
    return demandPerSecond;
  }

  ClassAmounts waiting() {
    return waiting;
  }

  double reportedLevel() {
    return reportedLevel;
  }

  /** Returns the holder's level if no request has arrived since its last report. */
  double maxLevel(long nowNanos) {
    return Math.min(burst, reportedLevel + rate * (nowNanos - reportedAtNanos) / 1e9);
  }

  void renew(long newExpiresAtNanos) {
    expiresAtNanos = newExpiresAtNanos;
  }

  /** Keeps the holder until the lease of another owner has ended. */
  void retain(long remainingLeaseNanos, long nowNanos) {
    renew(
        nowNanos
            + Math.max(
                UNLEASED_HOLDER_RETENTION_NANOS, ShareTimes.expiryNanos(remainingLeaseNanos)));
  }

  long reportedAtNanos() {
    return reportedAtNanos;
  }

  long expiresAtNanos() {
    return expiresAtNanos;
  }
}
