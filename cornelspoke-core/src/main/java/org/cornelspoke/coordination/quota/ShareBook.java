package org.cornelspoke.coordination.quota;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.LongUnaryOperator;
import org.cornelspoke.coordination.quota.ShareMessage.Ask;
import org.cornelspoke.coordination.quota.ShareMessage.Grant;
import org.cornelspoke.coordination.quota.ShareMessage.Recall;
import org.cornelspoke.coordination.quota.ShareMessage.Report;
import org.cornelspoke.coordination.quota.ShareMessage.Reset;
import org.cornelspoke.coordination.quota.ShareMessage.Return;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;

/**
 * An owner's side of one account: the spare capacity in its own bucket, what each holder has, and
 * what was lost and waits for the end of its lease.
 *
 * <p>Holders with a steady demand have shares, others ask for single tokens. Rates follow demand.
 * Most of the burst stays spare and moves to holders with waiting requests together with its
 * tokens; holders that have more than they need are asked to return it.
 */
final class ShareBook {

  /** Rate given above the demand, so that tokens saved by a holder recover after a short peak. */
  private static final double RATE_HEADROOM = 1.05;

  /** The same while the rate is not scarce: demand may grow before a message is needed. */
  private static final double AMPLE_RATE_HEADROOM = 1.5;

  /**
   * Rate given above the demand of a class before lower ones get any. Arrivals vary, and what a
   * class leaves serves lower ones at the same holder.
   */
  private static final double URGENT_RATE_HEADROOM = 1.25;

  /** Part of the burst that holders may keep; the rest serves peaks of any holder. */
  private static final double HELD_BURST_PART = 0.6;

  /**
   * Smallest burst that a holder keeps; below it, it is served token by token. A part of a token
   * admits nothing, and a bucket of hardly more than one token is mostly full and loses its refill.
   */
  private static final double MIN_HELD_BURST_TOKENS = 2;

  /**
   * The same while the rate is ample. The refill that is lost isn't missed then, and a share at
   * hand answers without a round trip and while the owner is lost.
   */
  private static final double MIN_HELD_BURST_OF_AMPLE_RATE_TOKENS = 1;

  /** Part of the rate up to which the demand counts as small. */
  private static final double AMPLE_DEMAND_PART = 0.75;

  /** Time of demand that a holder's burst covers in addition to random variation. */
  private static final double BURST_SECONDS = 0.12;

  private static final double BURST_DEVIATIONS = 2;

  /** Deviations from the wanted share that are not worth a message. */
  private static final double RATE_TOLERANCE = 0.02;

  private static final double EXCESS_RATE = 1.2;
  private static final double EXCESS_BURST = 1.3;
  private static final double LOW_LEVEL_PART = 0.25;
  private static final long RECALL_NANOS = 20_000_000L;
  private static final double ROUNDING = 1e-7;

  /** Longest time for which an account counts as exhausted without a further message. */
  private static final double MAX_EXHAUSTED_SECONDS = 0.5;

  /** Time that a holder without a share stays on record while its owner has no lease. */
  private static final long UNANSWERED_NANOS = 1_000_000_000L;

  /** Tells whether new requests of the account would wait in vain for a token. */
  interface ExhaustionRule {

    /** Returns the state of the account, or nothing if new requests may be served. */
    Optional<Exhaustion> apply(ShareBook book, long nowNanos);
  }

  private record LostShare(double rate, double burst, long reissueNanos) {}

  private final AccountId account;
  private final TokenBucket spare;
  private final BiConsumer<String, ShareMessage> out;
  private final LongUnaryOperator leaseNanosAt;
  private final Map<String, ShareChild> children = new LinkedHashMap<>();
  private final List<LostShare> lost = new ArrayList<>();
  private final ExhaustionRule exhaustionRule;
  private final ShareTimes times;
  private final TokenBook tokens;

  /**
   * Creates a book without holders.
   *
   * @param spare the owner's own bucket
   * @param out sends a message to a holder
   * @param leaseNanosAt length of a lease given at a time; 0 if none can be given
   * @param exhaustionRule decides whether holders are told that the account is exhausted
   */
  ShareBook(
      AccountId account,
      TokenBucket spare,
      BiConsumer<String, ShareMessage> out,
      LongUnaryOperator leaseNanosAt,
      ExhaustionRule exhaustionRule,
      ShareTimes times,
      long nowNanos) {
    this.account = account;
    this.spare = spare;
    this.out = out;
    this.leaseNanosAt = leaseNanosAt;
    this.exhaustionRule = exhaustionRule;
    this.times = times;
    this.tokens = new TokenBook(account, spare, out, times, nowNanos);
  }

  /** Takes an ask for single tokens and serves it, refuses it, or lets it wait. */
  void onAsk(String holder, Ask ask, long nowNanos) {
    boolean waitsAlready = waiting().total() > 0;
    tokens.onAsk(holder, ask, nowNanos);
    if (!waitsAlready) {
      serveWaiting(nowNanos);
    }
    if (tokens.waiting().total() > 0) {
      exhaustionRule.apply(this, nowNanos).ifPresent(tokens::refuseNewest);
    }
  }

  /** Ends the window in which asks are counted if it is older than the given time. */
  void rollDemand(long windowNanos, long nowNanos) {
    tokens.rollDemand(windowNanos, nowNanos);
  }

  /**
   * Compares the requests that wait with the tokens that come while a new one may wait. Answers
   * accounts above their rate: what would be refused after its wait is refused at once.
   */
  static Optional<Exhaustion> exhaustedByWaiting(ShareBook book, long nowNanos) {
    double rate = book.rate();
    double coming = book.comingTokens(nowNanos);
    ClassAmounts waiting = book.waiting();
    for (TrafficClass trafficClass : TrafficClass.values()) {
      double vain = waiting.upTo(trafficClass) + 1 - Math.max(1, coming);
      if (waiting.of(trafficClass) > 0 && vain > 0) {
        double seconds = rate > 0 ? vain / rate : MAX_EXHAUSTED_SECONDS;
        return Optional.of(
            new Exhaustion(trafficClass, (long) (Math.min(seconds, MAX_EXHAUSTED_SECONDS) * 1e9)));
      }
    }
    return Optional.empty();
  }

  /**
   * Returns true if as many requests wait as are served while a new one may wait. Fewer leave
   * tokens unused, whatever the state of the whole account.
   */
  boolean hasEnoughWaiting(long nowNanos) {
    return waiting().total() + 1 > comingTokens(nowNanos);
  }

  private double comingTokens(long nowNanos) {
    return spare.level(nowNanos) + recallableTokens(nowNanos) + rate() * times.usableWaitSeconds();
  }

  /** Returns the tokens of holders without waiting requests, which a recall brings back. */
  private double recallableTokens(long nowNanos) {
    double sum = 0;
    for (ShareChild child : children.values()) {
      if (child.waiting().total() == 0) {
        sum += child.highestLevel(nowNanos);
      }
    }
    return sum;
  }

  /**
   * Takes a report, renews the lease and gives the holder what it needs.
   *
   * @param adopting true if shares that are not on record were issued by an earlier leader
   * @return false if the holder has a share that is not on record and was told to start anew
   */
  boolean onReport(String holder, Report report, boolean adopting, long nowNanos) {
    ShareChild child = children.get(holder);
    if (child != null && report.session() < child.session()) {
      return true;
    }
    if (child == null || report.session() > child.session()) {
      child = startSession(holder, child, report, adopting);
      if (child == null) {
        out.accept(holder, new Reset(account, report.session()));
        return false;
      }
    }
    if (!child.accept(report.sequence())) {
      return true;
    }
    spare.add(child.onReturned(report.returned()), nowNanos);
    child.onReport(report, nowNanos);
    if (leaseNanosAt.applyAsLong(nowNanos) <= 0) {
      // The report is answered by the first grant after a lease has come from above.
      child.renew(nowNanos + UNANSWERED_NANOS);
      return true;
    }
    grant(
        child,
        adopting ? TokenShare.EMPTY : takeFor(child, child.waiting().total(), nowNanos),
        nowNanos);
    if (!adopting) {
      recallExcess(child, nowNanos);
    }
    return true;
  }

  /** Reissues a share, without tokens, only after a lease that this owner has not given. */
  void onCarried(TokenShare share, long leaseLeftNanos, long nowNanos) {
    lost.add(
        new LostShare(
            share.rateTokensPerSecond(),
            share.burstTokens(),
            nowNanos + ShareTimes.expiryNanos(leaseLeftNanos)));
  }

  /** Takes a returned part into the spare capacity. */
  void onReturn(String holder, Return message, long nowNanos) {
    ShareChild child = children.get(holder);
    if (child != null && child.session() == message.session() && child.accept(message.sequence())) {
      spare.add(child.onReturned(message.returned()), nowNanos);
    }
  }

  /** Reissues, without tokens, what holders lost and whose leases have ended. */
  void releaseExpired(long nowNanos) {
    tokens.releaseExpired(nowNanos);
    for (Iterator<ShareChild> all = children.values().iterator(); all.hasNext(); ) {
      ShareChild child = all.next();
      child.dropStaleWaiting(times.reportedWaitNanos(), nowNanos);
      if (nowNanos - child.expiresNanos() >= 0) {
        all.remove();
        spare.add(new TokenShare(child.rate(), child.burst(), 0), nowNanos);
      }
    }
    for (Iterator<LostShare> all = lost.iterator(); all.hasNext(); ) {
      LostShare share = all.next();
      if (nowNanos - share.reissueNanos() >= 0) {
        all.remove();
        spare.add(new TokenShare(share.rate(), share.burst(), 0), nowNanos);
      }
    }
  }

  /**
   * Gives spare tokens to holders with waiting requests and recalls more if they do not suffice.
   */
  void serveWaiting(long nowNanos) {
    long leaseNanos = leaseNanosAt.applyAsLong(nowNanos);
    if (leaseNanos <= 0 || waiting().total() <= 0) {
      return;
    }
    for (TrafficClass trafficClass : TrafficClass.values()) {
      if (leaseNanos >= times.tokenNanos()) {
        tokens.serve(trafficClass, nowNanos);
      }
      for (ShareChild child : children.values()) {
        if (child.waiting().upTo(trafficClass) > 0) {
          TokenShare added = takeFor(child, child.waiting().upTo(trafficClass), nowNanos);
          if (added.levelTokens() >= 1 || added.rateTokensPerSecond() > 0) {
            grant(child, added, nowNanos);
          } else {
            spare.add(added, nowNanos);
          }
        }
      }
    }
    if (waiting().total() > 0) {
      recallFromSatisfied(nowNanos);
    }
  }

  /** Asks holders without waiting requests for the tokens that they do not need now. */
  void recallFromSatisfied(long nowNanos) {
    for (ShareChild child : children.values()) {
      if (child.waiting().total() == 0
          && (child.rate() > 0 || child.highestLevel(nowNanos) >= 1)
          && child.mayRecall(RECALL_NANOS, nowNanos)) {
        recall(child, TokenShare.EMPTY, false, nowNanos);
      }
    }
  }

  /** Adapts the spare capacity to a new total and recalls what is missing from the holders. */
  void settle(double totalRate, double totalBurst, long nowNanos) {
    double missingRate = totalRate - rate();
    double missingBurst = totalBurst - burst();
    spare.add(new TokenShare(Math.max(0, missingRate), Math.max(0, missingBurst), 0), nowNanos);
    if (missingRate >= -ROUNDING && missingBurst >= -ROUNDING) {
      return;
    }
    spare.remove(-missingRate, -missingBurst, 0, nowNanos);
    recallForced(rate() - totalRate, burst() - totalBurst, nowNanos);
  }

  /** Recalls the given amounts from the holders, from each in proportion to what it has. */
  void recallForced(double missingRate, double missingBurst, long nowNanos) {
    double issuedRate = children.values().stream().mapToDouble(ShareChild::rate).sum();
    double issuedBurst = children.values().stream().mapToDouble(ShareChild::burst).sum();
    double keepRate = part(issuedRate - missingRate, issuedRate);
    double keepBurst = part(issuedBurst - missingBurst, issuedBurst);
    if (keepRate >= 1 - ROUNDING && keepBurst >= 1 - ROUNDING) {
      return;
    }
    for (ShareChild child : children.values()) {
      if (child.mayRecall(RECALL_NANOS, nowNanos)) {
        double burst = child.burst() * keepBurst;
        recall(child, new TokenShare(child.rate() * keepRate, burst, burst), true, nowNanos);
      }
    }
  }

  /** Forgets all holders, whose leases end by themselves. */
  void clear() {
    children.clear();
    lost.clear();
    tokens.clear();
  }

  boolean isEmpty() {
    return children.isEmpty() && lost.isEmpty() && tokens.isEmpty();
  }

  /** Returns the rate of this owner and its holders together. */
  double rate() {
    return spare.rate() + passedOn().rateTokensPerSecond();
  }

  /** Returns the burst of this owner and its holders together. */
  double burst() {
    return spare.burst() + passedOn().burstTokens();
  }

  /** Returns what holders have or have lost, with an estimate of their level. */
  TokenShare passedOn() {
    double rate = 0;
    double burst = tokens.outTokens();
    double level = 0;
    for (ShareChild child : children.values()) {
      rate += child.rate();
      burst += child.burst();
      level += Math.min(child.burst(), child.reportedLevel());
    }
    for (LostShare share : lost) {
      rate += share.rate();
      burst += share.burst();
    }
    return new TokenShare(rate, burst, level);
  }

  ClassAmounts demandPerSecond(long nowNanos) {
    ClassAmounts sum = tokens.demandPerSecond(nowNanos);
    for (ShareChild child : children.values()) {
      sum = sum.plus(child.demandPerSecond());
    }
    return sum;
  }

  ClassAmounts waiting() {
    ClassAmounts sum = tokens.waiting();
    for (ShareChild child : children.values()) {
      sum = sum.plus(child.waiting());
    }
    return sum;
  }

  /** Sends a grant, which also renews the lease from the time of the last report. */
  private void grant(ShareChild child, TokenShare added, long nowNanos) {
    long leaseNanos = leaseNanosAt.applyAsLong(nowNanos);
    child.onGranted(added);
    child.renew(nowNanos + ShareTimes.expiryNanos(leaseNanos));
    out.accept(
        child.holder(),
        new Grant(
            account,
            child.session(),
            child.reportSequence(),
            leaseNanos,
            added,
            wantedBurst(child, nowNanos),
            exhaustionRule.apply(this, nowNanos)));
  }

  private ShareChild startSession(
      String holder, ShareChild former, Report report, boolean adopting) {
    TokenShare held = report.held();
    boolean holdsNothing = held.rateTokensPerSecond() == 0 && held.burstTokens() == 0;
    if (report.sequence() != 1 || (former == null && !holdsNothing && !adopting)) {
      return null;
    }
    ShareChild child = new ShareChild(holder, report.session());
    if (former != null) {
      boolean onRecord =
          held.rateTokensPerSecond() <= former.rate() + ROUNDING
              && held.burstTokens() <= former.burst() + ROUNDING;
      if (!onRecord && !adopting) {
        return null;
      }
      double lostRate = Math.max(0, former.rate() - held.rateTokensPerSecond());
      double lostBurst = Math.max(0, former.burst() - held.burstTokens());
      if (lostRate > ROUNDING || lostBurst > ROUNDING) {
        lost.add(new LostShare(lostRate, lostBurst, former.expiresNanos()));
      }
    }
    child.adopt(held);
    children.put(holder, child);
    return child;
  }

  /**
   * Takes out of the spare capacity what brings the holder to its wanted share.
   *
   * @param waiting waiting requests of the holder that have their turn
   */
  private TokenShare takeFor(ShareChild child, double waiting, long nowNanos) {
    double level = spare.level(nowNanos);
    double wantedRate = wantedRate(child, nowNanos);
    double wantedBurst = wantedBurst(child, nowNanos);
    double rate = wantedRate - child.rate();
    if (rate < wantedRate * RATE_TOLERANCE) {
      rate = 0;
    }
    double burst = Math.max(0, wantedBurst - child.burst());
    double tokens = spare.burst() > 0 ? burst * Math.min(1, level / spare.burst()) : 0;
    if (waiting > 0) {
      tokens = Math.max(tokens, Math.min(waiting, Math.floor(level)));
    }
    if (child.reportedLevel() < wantedBurst * LOW_LEVEL_PART) {
      tokens = Math.max(tokens, Math.min(wantedBurst / 2, level / children.size()));
    }
    return spare.remove(rate, Math.max(burst, tokens), tokens, nowNanos);
  }

  private void recallExcess(ShareChild child, long nowNanos) {
    double wantedRate = wantedRate(child, nowNanos);
    double wantedBurst = wantedBurst(child, nowNanos);
    boolean excess =
        child.rate() > wantedRate * EXCESS_RATE + ROUNDING
            || child.burst() > wantedBurst * EXCESS_BURST + 1;
    if (excess && child.mayRecall(RECALL_NANOS, nowNanos)) {
      double keepBurst = Math.min(child.burst(), wantedBurst);
      recall(
          child,
          new TokenShare(Math.min(child.rate(), wantedRate), keepBurst, keepBurst),
          true,
          nowNanos);
    }
  }

  private void recall(ShareChild child, TokenShare keep, boolean forced, long nowNanos) {
    child.onRecalled(forced, nowNanos);
    out.accept(child.holder(), new Recall(account, child.session(), keep, forced));
  }

  private double wantedRate(ShareChild child, long nowNanos) {
    double burst = wantedBurst(child, nowNanos);
    // A holder that can't keep a whole token is served token by token from the spare capacity.
    if (burst < 1) {
      return 0;
    }
    // The fewer tokens a holder can keep, the more of its rate would be lost while it is full. That
    // part of the rate stays spare and reaches the holder as tokens when requests wait.
    double part = burst / (burst + 1);
    double total = rate();
    ClassAmounts demand = demandPerSecond(nowNanos);
    double headroom =
        Math.min(AMPLE_RATE_HEADROOM, demand.total() > 0 ? total / demand.total() : 1);
    return headroom >= RATE_HEADROOM
        ? part * child.demandPerSecond().total() * headroom
        : part * partOfScarceRate(child.demandPerSecond(), demand, total);
  }

  /** Returns what a holder gets of a rate that serves its classes in their order. */
  private static double partOfScarceRate(
      ClassAmounts holderDemand, ClassAmounts demand, double totalRate) {
    double left = totalRate;
    double wanted = 0;
    for (TrafficClass trafficClass : TrafficClass.values()) {
      double all = demand.of(trafficClass);
      if (all > 0) {
        double served = Math.min(left, all * URGENT_RATE_HEADROOM);
        wanted += served * holderDemand.of(trafficClass) / all;
        left -= served;
      }
    }
    return wanted;
  }

  private double wantedBurst(ShareChild child, long nowNanos) {
    double demand = child.demandPerSecond().total();
    if (demand <= 0) {
      return 0;
    }
    double allDemand = demandPerSecond(nowNanos).total();
    double needed =
        demand * BURST_SECONDS + BURST_DEVIATIONS * Math.sqrt(demand * BURST_SECONDS) + 1;
    double wanted = Math.min(needed, HELD_BURST_PART * burst() * demand / allDemand);
    double least =
        allDemand <= AMPLE_DEMAND_PART * rate()
            ? MIN_HELD_BURST_OF_AMPLE_RATE_TOKENS
            : MIN_HELD_BURST_TOKENS;
    return wanted < least ? 0 : wanted;
  }

  private static double part(double kept, double all) {
    return all <= 0 ? 1 : Math.max(0, Math.min(1, kept / all));
  }
}
