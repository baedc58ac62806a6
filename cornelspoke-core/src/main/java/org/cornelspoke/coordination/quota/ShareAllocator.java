package org.cornelspoke.coordination.quota;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.LongUnaryOperator;
import org.cornelspoke.coordination.quota.ShareMessage.Grant;
import org.cornelspoke.coordination.quota.ShareMessage.Recall;
import org.cornelspoke.coordination.quota.ShareMessage.Report;
import org.cornelspoke.coordination.quota.ShareMessage.Reset;
import org.cornelspoke.coordination.quota.ShareMessage.Return;
import org.cornelspoke.coordination.quota.ShareMessage.TokenRequest;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;

/**
 * Allocates one account's capacity to the holders of an owner. It tracks the spare capacity in the
 * owner's bucket, the share of each holder, and lost shares whose leases have not ended yet.
 *
 * <p>Holders with a steady demand have shares, others request single tokens. Rates follow demand.
 * Most of the burst stays spare and moves, together with its tokens, to holders with waiting
 * requests. Holders that have more than they need are asked to return it.
 */
final class ShareAllocator {

  /** Issued rate relative to demand, so that a holder's tokens recover after a short peak. */
  private static final double RATE_HEADROOM_FACTOR = 1.05;

  /**
   * Issued rate relative to demand while the rate is not scarce, so that demand may grow before a
   * message is needed.
   */
  private static final double AMPLE_RATE_HEADROOM_FACTOR = 1.5;

  /**
   * Rate reserved for a class, relative to its demand, before lower classes get any. Arrivals vary,
   * and what a class leaves unused serves lower classes at the same holder.
   */
  private static final double HIGHER_CLASS_RATE_HEADROOM_FACTOR = 1.25;

  /** Fraction of the burst that holders may keep; the rest serves peaks of any holder. */
  private static final double MAX_HELD_BURST_FRACTION = 0.6;

  /**
   * Smallest burst that a holder keeps; below it, the holder is served by single tokens. A fraction
   * of a token admits nothing, and a bucket of little more than one token is full most of the time
   * and loses its refill.
   */
  private static final double MIN_HELD_BURST_TOKENS = 2;

  /**
   * Smallest burst that a holder keeps while the rate is ample. The lost refill does not matter
   * then, and a local share serves requests without a round trip and while the owner is
   * unreachable.
   */
  private static final double AMPLE_RATE_MIN_HELD_BURST_TOKENS = 1;

  /** Fraction of the rate up to which the rate counts as ample for the demand. */
  private static final double AMPLE_RATE_DEMAND_FRACTION = 0.75;

  /** Seconds of demand that a holder's burst covers in addition to random variation. */
  private static final double BURST_SECONDS = 0.12;

  private static final double BURST_DEVIATIONS = 2;

  /** Relative difference from the wanted rate that is too small to be corrected by a grant. */
  private static final double RATE_TOLERANCE_FRACTION = 0.02;

  private static final double EXCESS_RATE_FACTOR = 1.2;
  private static final double EXCESS_BURST_FACTOR = 1.3;
  private static final double LOW_LEVEL_FRACTION = 0.25;
  private static final long RECALL_INTERVAL_NANOS = 20_000_000L;
  private static final double ROUNDING = 1e-7;

  /** Longest time for which an account counts as exhausted without a further message. */
  private static final double MAX_EXHAUSTED_SECONDS = 0.5;

  /**
   * Decides whether new requests of the account would wait for a token until their deadline without
   * getting one.
   */
  interface ExhaustionRule {

    /** Returns the exhaustion of the account, or empty if new requests may be served. */
    Optional<Exhaustion> apply(ShareAllocator allocator, long nowNanos);
  }

  private record LostShare(double rate, double burst, long reissueAtNanos) {}

  private final AccountId account;
  private final TokenBucket spare;
  private final BiConsumer<String, ShareMessage> toHolder;
  private final LongUnaryOperator leaseNanosAt;
  private final Map<String, HolderState> holders = new LinkedHashMap<>();
  private final List<LostShare> lostShares = new ArrayList<>();
  private final ExhaustionRule exhaustionRule;
  private final ShareTimes times;
  private final TokenAllocator tokenAllocator;

  /**
   * Creates an allocator without holders.
   *
   * @param spare the owner's own bucket
   * @param toHolder sends a message to a holder
   * @param leaseNanosAt duration of a lease issued at a given time; 0 if none can be issued
   * @param exhaustionRule decides whether holders are told that the account is exhausted
   */
  ShareAllocator(
      AccountId account,
      TokenBucket spare,
      BiConsumer<String, ShareMessage> toHolder,
      LongUnaryOperator leaseNanosAt,
      ExhaustionRule exhaustionRule,
      ShareTimes times,
      long nowNanos) {
    this.account = account;
    this.spare = spare;
    this.toHolder = toHolder;
    this.leaseNanosAt = leaseNanosAt;
    this.exhaustionRule = exhaustionRule;
    this.times = times;
    this.tokenAllocator = new TokenAllocator(account, spare, toHolder, times, nowNanos);
  }

  /** Handles a request for single tokens: serves it, refuses it or queues it. */
  void onTokenRequest(String holder, TokenRequest request, long nowNanos) {
    boolean hadWaiting = waiting().total() > 0;
    tokenAllocator.onTokenRequest(holder, request, nowNanos);
    if (!hadWaiting) {
      serveWaiting(nowNanos);
    }
    if (tokenAllocator.waiting().total() > 0) {
      exhaustionRule.apply(this, nowNanos).ifPresent(tokenAllocator::refuseNewest);
    }
  }

  /** Ends the window in which token requests are counted if it is older than the given time. */
  void rollDemandWindow(long windowNanos, long nowNanos) {
    tokenAllocator.rollDemandWindow(windowNanos, nowNanos);
  }

  /**
   * Compares the waiting requests with the tokens expected within the wait of a new request. Above
   * the account's rate, a request that could only be refused after its wait is refused at once.
   */
  static Optional<Exhaustion> exhaustionByBacklog(ShareAllocator allocator, long nowNanos) {
    double rate = allocator.rate();
    double expectedTokens = allocator.expectedTokens(nowNanos);
    ClassAmounts waiting = allocator.waiting();
    for (TrafficClass trafficClass : TrafficClass.values()) {
      double excessRequests =
          waiting.totalAtOrAbove(trafficClass) + 1 - Math.max(1, expectedTokens);
      if (waiting.of(trafficClass) > 0 && excessRequests > 0) {
        double exhaustedSeconds = rate > 0 ? excessRequests / rate : MAX_EXHAUSTED_SECONDS;
        return Optional.of(
            new Exhaustion(
                trafficClass, (long) (Math.min(exhaustedSeconds, MAX_EXHAUSTED_SECONDS) * 1e9)));
      }
    }
    return Optional.empty();
  }

  /**
   * Returns true if at least as many requests wait as can be served within the wait of a new one.
   * With fewer, tokens would stay unused, whatever the state of the whole account.
   */
  boolean hasSufficientBacklog(long nowNanos) {
    return waiting().total() + 1 > expectedTokens(nowNanos);
  }

  private double expectedTokens(long nowNanos) {
    return spare.level(nowNanos) + recallableTokens(nowNanos) + rate() * times.usableWaitSeconds();
  }

  /** Returns the tokens of holders without waiting requests, which a recall can bring back. */
  private double recallableTokens(long nowNanos) {
    double sum = 0;
    for (HolderState state : holders.values()) {
      if (state.waiting().total() == 0) {
        sum += state.maxLevel(nowNanos);
      }
    }
    return sum;
  }

  /**
   * Handles a report: renews the lease and grants the holder what it needs.
   *
   * @param adopting true if unrecorded shares were issued by an earlier leader and are adopted
   * @return false if the holder has an unrecorded share and was sent a reset
   */
  boolean onReport(String holder, Report report, boolean adopting, long nowNanos) {
    HolderState state = holders.get(holder);
    if (state != null && report.session() < state.session()) {
      return true;
    }
    if (state == null || report.session() > state.session()) {
      state = startSession(holder, state, report, adopting);
      if (state == null) {
        toHolder.accept(holder, new Reset(account, report.session()));
        return false;
      }
    }
    if (!state.acceptSequence(report.sequence())) {
      return true;
    }
    spare.add(state.onReturned(report.returned()), nowNanos);
    state.onReport(report, nowNanos);
    if (leaseNanosAt.applyAsLong(nowNanos) <= 0) {
      // The first grant after the owner may issue leases replies to the report.
      state.retain(report.remainingLeaseNanos(), nowNanos);
      return true;
    }
    grant(
        state,
        adopting ? TokenShare.EMPTY : takeForHolder(state, state.waiting().total(), nowNanos),
        nowNanos);
    if (!adopting) {
      recallExcess(state, nowNanos);
    }
    return true;
  }

  /**
   * Registers a share under a lease that this owner has not issued; it is reissued, without tokens,
   * once that lease has ended.
   */
  void onUnrecordedShare(TokenShare share, long remainingLeaseNanos, long nowNanos) {
    lostShares.add(
        new LostShare(
            share.rateTokensPerSecond(),
            share.burstTokens(),
            nowNanos + ShareTimes.expiryNanos(remainingLeaseNanos)));
  }

  /** Adds returned capacity to the spare capacity. */
  void onReturn(String holder, Return message, long nowNanos) {
    HolderState state = holders.get(holder);
    if (state != null
        && state.session() == message.session()
        && state.acceptSequence(message.sequence())) {
      spare.add(state.onReturned(message.returned()), nowNanos);
    }
  }

  /**
   * Reclaims, without tokens, the capacity of lost shares and of holders whose leases have ended.
   */
  void releaseExpired(long nowNanos) {
    tokenAllocator.releaseExpired(nowNanos);
    for (Iterator<HolderState> iterator = holders.values().iterator(); iterator.hasNext(); ) {
      HolderState state = iterator.next();
      state.removeStaleWaiting(times.reportedWaitingRetentionNanos(), nowNanos);
      if (nowNanos - state.expiresAtNanos() >= 0) {
        iterator.remove();
        spare.add(new TokenShare(state.rate(), state.burst(), 0), nowNanos);
      }
    }
    for (Iterator<LostShare> iterator = lostShares.iterator(); iterator.hasNext(); ) {
      LostShare share = iterator.next();
      if (nowNanos - share.reissueAtNanos() >= 0) {
        iterator.remove();
        spare.add(new TokenShare(share.rate(), share.burst(), 0), nowNanos);
      }
    }
  }

  /**
   * Grants spare tokens to holders with waiting requests and recalls more if they do not suffice.
   */
  void serveWaiting(long nowNanos) {
    long leaseNanos = leaseNanosAt.applyAsLong(nowNanos);
    if (leaseNanos <= 0 || waiting().total() <= 0) {
      return;
    }
    for (TrafficClass trafficClass : TrafficClass.values()) {
      if (leaseNanos >= times.tokenValidityNanos()) {
        tokenAllocator.serve(trafficClass, nowNanos);
      }
      for (HolderState state : holders.values()) {
        if (state.waiting().totalAtOrAbove(trafficClass) > 0) {
          TokenShare added =
              takeForHolder(state, state.waiting().totalAtOrAbove(trafficClass), nowNanos);
          if (added.levelTokens() >= 1 || added.rateTokensPerSecond() > 0) {
            grant(state, added, nowNanos);
          } else {
            spare.add(added, nowNanos);
          }
        }
      }
    }
    if (waiting().total() > 0) {
      recallVoluntary(nowNanos);
    }
  }

  /** Asks holders without waiting requests to return the tokens that they do not need now. */
  void recallVoluntary(long nowNanos) {
    for (HolderState state : holders.values()) {
      if (state.waiting().total() == 0
          && (state.rate() > 0 || state.maxLevel(nowNanos) >= 1)
          && state.mayRecall(RECALL_INTERVAL_NANOS, nowNanos)) {
        recall(state, TokenShare.EMPTY, false, nowNanos);
      }
    }
  }

  /** Adjusts the spare capacity to new totals and recalls any excess from the holders. */
  void adjustTotals(double totalRate, double totalBurst, long nowNanos) {
    double missingRate = totalRate - rate();
    double missingBurst = totalBurst - burst();
    spare.add(new TokenShare(Math.max(0, missingRate), Math.max(0, missingBurst), 0), nowNanos);
    if (missingRate >= -ROUNDING && missingBurst >= -ROUNDING) {
      return;
    }
    spare.remove(-missingRate, -missingBurst, 0, nowNanos);
    recallForced(rate() - totalRate, burst() - totalBurst, nowNanos);
  }

  /** Recalls the given amounts from the holders, in proportion to their shares. */
  void recallForced(double missingRate, double missingBurst, long nowNanos) {
    double issuedRate = holders.values().stream().mapToDouble(HolderState::rate).sum();
    double issuedBurst = holders.values().stream().mapToDouble(HolderState::burst).sum();
    double keepRate = fraction(issuedRate - missingRate, issuedRate);
    double keepBurst = fraction(issuedBurst - missingBurst, issuedBurst);
    if (keepRate >= 1 - ROUNDING && keepBurst >= 1 - ROUNDING) {
      return;
    }
    for (HolderState state : holders.values()) {
      if (state.mayRecall(RECALL_INTERVAL_NANOS, nowNanos)) {
        double burst = state.burst() * keepBurst;
        recall(state, new TokenShare(state.rate() * keepRate, burst, burst), true, nowNanos);
      }
    }
  }

  /** Removes all holders; their leases expire without a message. */
  void clear() {
    holders.clear();
    lostShares.clear();
    tokenAllocator.clear();
  }

  boolean isEmpty() {
    return holders.isEmpty() && lostShares.isEmpty() && tokenAllocator.isEmpty();
  }

  /** Returns the rate of this owner and its holders together. */
  double rate() {
    return spare.rate() + issuedShare().rateTokensPerSecond();
  }

  /** Returns the burst of this owner and its holders together. */
  double burst() {
    return spare.burst() + issuedShare().burstTokens();
  }

  /** Returns the capacity that holders have or have lost, with an estimate of their level. */
  TokenShare issuedShare() {
    double rate = 0;
    double burst = tokenAllocator.issuedTokens();
    double level = 0;
    for (HolderState state : holders.values()) {
      rate += state.rate();
      burst += state.burst();
      level += Math.min(state.burst(), state.reportedLevel());
    }
    for (LostShare share : lostShares) {
      rate += share.rate();
      burst += share.burst();
    }
    return new TokenShare(rate, burst, level);
  }

  /** Adds to the totals, by holder, the shares that this owner counts as issued. */
  void addIssuedShares(Map<String, IssuedShares> totals) {
    holders.forEach(
        (holder, state) ->
            totals.merge(
                holder,
                new IssuedShares(
                    new TokenShare(state.rate(), state.burst(), 0),
                    state.reportedAtNanos(),
                    state.expiresAtNanos()),
                IssuedShares::plus));
  }

  ClassAmounts demandPerSecond(long nowNanos) {
    ClassAmounts sum = tokenAllocator.demandPerSecond(nowNanos);
    for (HolderState state : holders.values()) {
      sum = sum.plus(state.demandPerSecond());
    }
    return sum;
  }

  ClassAmounts waiting() {
    ClassAmounts sum = tokenAllocator.waiting();
    for (HolderState state : holders.values()) {
      sum = sum.plus(state.waiting());
    }
    return sum;
  }

  /** Sends a grant, which also renews the lease from the time of the last report. */
  private void grant(HolderState state, TokenShare added, long nowNanos) {
    long leaseNanos = leaseNanosAt.applyAsLong(nowNanos);
    state.onGranted(added);
    state.renew(nowNanos + ShareTimes.expiryNanos(leaseNanos));
    toHolder.accept(
        state.holder(),
        new Grant(
            account,
            state.session(),
            state.reportSequence(),
            leaseNanos,
            added,
            wantedBurst(state, nowNanos),
            exhaustionRule.apply(this, nowNanos)));
  }

  private HolderState startSession(
      String holder, HolderState previous, Report report, boolean adopting) {
    TokenShare held = report.held();
    boolean holdsNothing = held.rateTokensPerSecond() == 0 && held.burstTokens() == 0;
    if (report.sequence() != 1 || (previous == null && !holdsNothing && !adopting)) {
      return null;
    }
    HolderState state = new HolderState(holder, report.session());
    if (previous != null) {
      boolean recorded =
          held.rateTokensPerSecond() <= previous.rate() + ROUNDING
              && held.burstTokens() <= previous.burst() + ROUNDING;
      if (!recorded && !adopting) {
        return null;
      }
      double lostRate = Math.max(0, previous.rate() - held.rateTokensPerSecond());
      double lostBurst = Math.max(0, previous.burst() - held.burstTokens());
      if (lostRate > ROUNDING || lostBurst > ROUNDING) {
        lostShares.add(new LostShare(lostRate, lostBurst, previous.expiresAtNanos()));
      }
    }
    state.adopt(held);
    holders.put(holder, state);
    return state;
  }

  /**
   * Takes from the spare capacity what the holder lacks of its wanted share.
   *
   * @param waiting waiting requests of the holder that are to be served now
   */
  private TokenShare takeForHolder(HolderState state, double waiting, long nowNanos) {
    double level = spare.level(nowNanos);
    double wantedRate = wantedRate(state, nowNanos);
    double wantedBurst = wantedBurst(state, nowNanos);
    double rate = wantedRate - state.rate();
    if (rate < wantedRate * RATE_TOLERANCE_FRACTION) {
      rate = 0;
    }
    double burst = Math.max(0, wantedBurst - state.burst());
    double tokens = spare.burst() > 0 ? burst * Math.min(1, level / spare.burst()) : 0;
    if (waiting > 0) {
      tokens = Math.max(tokens, Math.min(waiting, Math.floor(level)));
    }
    if (state.reportedLevel() < wantedBurst * LOW_LEVEL_FRACTION) {
      tokens = Math.max(tokens, Math.min(wantedBurst / 2, level / holders.size()));
    }
    return spare.remove(rate, Math.max(burst, tokens), tokens, nowNanos);
  }

  private void recallExcess(HolderState state, long nowNanos) {
    double wantedRate = wantedRate(state, nowNanos);
    double wantedBurst = wantedBurst(state, nowNanos);
    boolean excess =
        state.rate() > wantedRate * EXCESS_RATE_FACTOR + ROUNDING
            || state.burst() > wantedBurst * EXCESS_BURST_FACTOR + 1;
    if (excess && state.mayRecall(RECALL_INTERVAL_NANOS, nowNanos)) {
      double keepBurst = Math.min(state.burst(), wantedBurst);
      recall(
          state,
          new TokenShare(Math.min(state.rate(), wantedRate), keepBurst, keepBurst),
          true,
          nowNanos);
    }
  }

  private void recall(HolderState state, TokenShare keep, boolean forced, long nowNanos) {
    state.onRecalled(forced, nowNanos);
    toHolder.accept(state.holder(), new Recall(account, state.session(), keep, forced));
  }

  private double wantedRate(HolderState state, long nowNanos) {
    double burst = wantedBurst(state, nowNanos);
    // A holder that cannot keep a whole token is served by single tokens from the spare capacity.
    if (burst < 1) {
      return 0;
    }
    // The smaller a holder's burst, the more of its rate is lost while its bucket is full. That
    // fraction of the rate stays spare and reaches the holder as tokens when requests wait.
    double usableFraction = burst / (burst + 1);
    double total = rate();
    ClassAmounts demand = demandPerSecond(nowNanos);
    double headroom =
        Math.min(AMPLE_RATE_HEADROOM_FACTOR, demand.total() > 0 ? total / demand.total() : 1);
    return headroom >= RATE_HEADROOM_FACTOR
        ? usableFraction * state.demandPerSecond().total() * headroom
        : usableFraction * scarceRateFor(state.demandPerSecond(), demand, total);
  }

  /** Returns the holder's rate when a scarce rate serves the classes in order of priority. */
  private static double scarceRateFor(
      ClassAmounts holderDemand, ClassAmounts demand, double totalRate) {
    double remainingRate = totalRate;
    double wanted = 0;
    for (TrafficClass trafficClass : TrafficClass.values()) {
      double classDemand = demand.of(trafficClass);
      if (classDemand > 0) {
        double served = Math.min(remainingRate, classDemand * HIGHER_CLASS_RATE_HEADROOM_FACTOR);
        wanted += served * holderDemand.of(trafficClass) / classDemand;
        remainingRate -= served;
      }
    }
    return wanted;
  }

  private double wantedBurst(HolderState state, long nowNanos) {
    double demand = state.demandPerSecond().total();
    if (demand <= 0) {
      return 0;
    }
    double totalDemand = demandPerSecond(nowNanos).total();
    double needed =
        demand * BURST_SECONDS + BURST_DEVIATIONS * Math.sqrt(demand * BURST_SECONDS) + 1;
    double wanted = Math.min(needed, MAX_HELD_BURST_FRACTION * burst() * demand / totalDemand);
    double minBurst =
        totalDemand <= AMPLE_RATE_DEMAND_FRACTION * rate()
            ? AMPLE_RATE_MIN_HELD_BURST_TOKENS
            : MIN_HELD_BURST_TOKENS;
    return wanted < minBurst ? 0 : wanted;
  }

  private static double fraction(double amount, double total) {
    return total <= 0 ? 1 : Math.max(0, Math.min(1, amount / total));
  }
}
