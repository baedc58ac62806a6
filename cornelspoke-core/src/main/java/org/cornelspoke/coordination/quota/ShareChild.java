package org.cornelspoke.coordination.quota;

/** What an owner has issued to one holder, and what the holder last reported. */
final class ShareChild {

  private final String holder;
  private final long session;
  private long sequence;
  private long reportSequence;
  private double rate;
  private double burst;
  private ClassAmounts demandPerSecond = ClassAmounts.NONE;
  private ClassAmounts waiting = ClassAmounts.NONE;
  private double level;
  private long levelAsOfNanos;
  private long expiresNanos;
  private long recalledNanos;
  private boolean recalled;
  private boolean recallForced;

  ShareChild(String holder, long session) {
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
  boolean accept(long newSequence) {
    if (newSequence <= sequence) {
      return false;
    }
    sequence = newSequence;
    return true;
  }

  /** Returns the sequence of the last report. */
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
    level = report.held().levelTokens();
    levelAsOfNanos = nowNanos;
  }

  void onGranted(TokenShare added) {
    rate += added.rateTokensPerSecond();
    burst += added.burstTokens();
    level += added.levelTokens();
    waiting = waiting.lessFirst(Math.floor(added.levelTokens()));
  }

  /** Takes a return into account and returns the part of it that was on record. */
  TokenShare onReturned(TokenShare returned) {
    TokenShare known = returned.part(rate, burst, returned.levelTokens());
    rate -= known.rateTokensPerSecond();
    burst -= known.burstTokens();
    level = Math.max(0, level - known.levelTokens());
    if (!recallForced && known.rateTokensPerSecond() > 0) {
      // What the holder kept is the rate that it needs now.
      double demand = demandPerSecond.total();
      if (demand > rate) {
        demandPerSecond = demandPerSecond.times(rate / demand);
      }
    }
    return known;
  }

  /** Returns true if the last recall is at least the interval ago. */
  boolean mayRecall(long intervalNanos, long nowNanos) {
    return !recalled || nowNanos - recalledNanos >= intervalNanos;
  }

  void onRecalled(boolean forced, long nowNanos) {
    recalled = true;
    recallForced = forced;
    recalledNanos = nowNanos;
  }

  /** Forgets waiting requests that have given up since the report. */
  void dropStaleWaiting(long ageNanos, long nowNanos) {
    if (nowNanos - levelAsOfNanos >= ageNanos) {
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
    return level;
  }

  /** Returns the level that the holder has if nothing arrived since its last report. */
  double highestLevel(long nowNanos) {
    return Math.min(burst, level + rate * (nowNanos - levelAsOfNanos) / 1e9);
  }

  void renew(long newExpiresNanos) {
    expiresNanos = newExpiresNanos;
  }

  long expiresNanos() {
    return expiresNanos;
  }
}
