package org.cornelspoke.coordination.quota;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.util.Assert;

/**
 * Hands out the times at which tokens are expected, by class and then in the order of the refusals.
 *
 * <p>A return time is handed out only if the retry can be answered within the objective. Later
 * returns are worth less than the new requests that could use their tokens, so they are suggested
 * only while new requests leave tokens over, and nothing is reserved for them. Part of the tokens
 * is never promised: a token for a return is one that a new request doesn't get, and the new
 * request would be answered sooner.
 */
final class TokenReturnSchedule implements ReturnSchedule {

  /** Largest part of the tokens that is promised to returns while new requests need them all. */
  private static final double PROMISED_FRACTION = 0.5;

  /**
   * Tokens per second below which no return time is handed out. Tokens then come one by one, on
   * request and at no foreseeable time.
   */
  private static final double MIN_TOKENS_PER_SECOND = 20;

  /** Tokens set aside for the demand of higher classes, for its variation. */
  private static final double HIGHER_DEMAND_FACTOR = 1.25;

  /**
   * Standard deviations of the number of tokens that a return time allows for, so that 95 of 100
   * returns find a token.
   */
  private static final double MARGIN_DEVIATIONS = 1.65;

  /**
   * Shortest return delay. A caller that repeats at once makes several attempts within 60 to 70 ms,
   * and these must not meet the return times of callers that arrived at the same moment.
   */
  private static final long MIN_RETURN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Retry-After of at least this says that a retry can't succeed. */
  private static final long MIN_IMPOSSIBLE_MILLIS = 1_000;

  /** Longest Retry-After. */
  private static final long MAX_RETRY_AFTER_MILLIS = 30_000;

  /**
   * Lapsed return times in a row from which on any request may use one. Some callers state their
   * whole timeout again with a retry and can't be told from new ones.
   */
  private static final int MAX_LAPSES_IN_A_ROW = 16;

  /** Uses by any request after which callers must be recognised again. */
  private static final int MAX_USES_BY_ANY_CALLER = 64;

  private static final double NANOS_PER_SECOND = 1e9;

  private final long keepNanos;
  private final ReturnCounts counts;
  private final Map<TrafficClass, ExpectedReturns> returns = new EnumMap<>(TrafficClass.class);
  private final Map<TrafficClass, RecentRefusals> refusals = new EnumMap<>(TrafficClass.class);
  private final TokenRateMeter taken = new TokenRateMeter();
  private int lapsesInARow;
  private int usesByAnyCaller;

  /**
   * Creates a schedule without return times.
   *
   * @param keepNanos time for which a token is reserved after its return time
   */
  TokenReturnSchedule(long keepNanos, ReturnCounts counts) {
    Assert.isTrue(keepNanos > 0, "keepNanos must be positive");
    this.keepNanos = keepNanos;
    this.counts = Assert.notNull(counts, "counts");
    for (TrafficClass trafficClass : TrafficClass.values()) {
      returns.put(trafficClass, new ExpectedReturns());
      refusals.put(trafficClass, new RecentRefusals());
    }
  }

  @Override
  public Arrival onArrival(TrafficClass trafficClass, CallerLimits limits, long nowNanos) {
    removeLapsed(nowNanos);
    ExpectedReturns expected = returns.get(trafficClass);
    if (!limits.isKnown()) {
      return Arrival.NEW;
    }
    if (expected.use(limits, false, nowNanos)) {
      lapsesInARow = 0;
    } else if (expected.dueNanosOf(limits).isPresent()
        || refusals.get(trafficClass).contains(limits, nowNanos)) {
      return Arrival.EARLY;
    } else if (lapsesInARow < MAX_LAPSES_IN_A_ROW || !expected.use(limits, true, nowNanos)) {
      return Arrival.NEW;
    } else if (++usesByAnyCaller >= MAX_USES_BY_ANY_CALLER) {
      usesByAnyCaller = 0;
      lapsesInARow = 0;
    }
    counts.onKept();
    return Arrival.RETURNING;
  }

  @Override
  public ClassAmounts reservedByClass(long nowNanos) {
    removeLapsed(nowNanos);
    ClassAmounts amounts = ClassAmounts.NONE;
    for (Map.Entry<TrafficClass, ExpectedReturns> entry : returns.entrySet()) {
      int count = entry.getValue().reservedTokens(nowNanos);
      amounts = count == 0 ? amounts : amounts.plus(entry.getKey(), count);
    }
    return amounts;
  }

  @Override
  public int reservedTokens(TrafficClass trafficClass, boolean returning, long nowNanos) {
    removeLapsed(nowNanos);
    int count = 0;
    for (Map.Entry<TrafficClass, ExpectedReturns> entry : returns.entrySet()) {
      if (entry.getKey().outranks(trafficClass) || (!returning && entry.getKey() == trafficClass)) {
        count += entry.getValue().reservedTokens(nowNanos);
      }
    }
    return count;
  }

  @Override
  public int returnsBefore(TrafficClass trafficClass, long endNanos, long nowNanos) {
    removeLapsed(nowNanos);
    int count = 0;
    for (Map.Entry<TrafficClass, ExpectedReturns> entry : returns.entrySet()) {
      if (!trafficClass.outranks(entry.getKey())) {
        count += entry.getValue().countBefore(endNanos);
      }
    }
    return count;
  }

  @Override
  public void onTokenTaken(long nowNanos) {
    taken.onTaken(nowNanos);
  }

  @Override
  public void refuse(
      TokenWaiter waiter, Supplier<TokenSupply> supply, long retryAfterMillis, long nowNanos) {
    if (!waiter.limits().isKnown()) {
      waiter.listener().onRefused(retryAfterMillis);
      return;
    }
    removeLapsed(nowNanos);
    Optional<Long> delayNanos = returnDelayNanos(waiter, supply, nowNanos);
    refusals.get(waiter.trafficClass()).add(waiter.limits(), nowNanos);
    if (delayNanos.isPresent()) {
      waiter.listener().onRefused(toMillisRoundedUp(delayNanos.get()));
    } else {
      counts.onImpossible();
      waiter.listener().onReturnImpossible(impossibleMillis(waiter, retryAfterMillis, nowNanos));
    }
  }

  private Optional<Long> returnDelayNanos(
      TokenWaiter waiter, Supplier<TokenSupply> currentSupply, long nowNanos) {
    TrafficClass trafficClass = waiter.trafficClass();
    CallerLimits limits = waiter.limits();
    ExpectedReturns expected = returns.get(trafficClass);
    Optional<Long> known = expected.dueNanosOf(limits);
    if (known.isPresent()) {
      return Optional.of(Math.max(0, known.get() - nowNanos));
    }
    if (waiter.arrival() != Arrival.NEW) {
      return Optional.empty();
    }
    TokenSupply supply = currentSupply.get();
    double perSecond =
        Math.max(supply.shareRate(), taken.perSecond(nowNanos))
            - HIGHER_DEMAND_FACTOR * TokenSupply.above(trafficClass, supply.demandPerSecond());
    if (perSecond < MIN_TOKENS_PER_SECOND || expected.isFull()) {
      return Optional.empty();
    }
    double unusedPerSecond = perSecond - supply.demandPerSecond().of(trafficClass);
    double promisedPerSecond = Math.max(PROMISED_FRACTION * perSecond, unusedPerSecond);
    double ahead =
        TokenSupply.above(trafficClass, supply.waiting()) + supply.waiting().of(trafficClass) + 1;
    long tokenNanos = (long) (withMargin(ahead) / perSecond * NANOS_PER_SECOND);
    long earliestNanos =
        nowNanos + Math.max(MIN_RETURN_NANOS, tokenNanos - limits.maxReturnWaitNanos());
    long dueNanos =
        expected.nextDueNanos(earliestNanos, (long) (NANOS_PER_SECOND / promisedPerSecond));
    long delayNanos = limits.roundUp(dueNanos - nowNanos);
    if (delayNanos <= limits.maxInTimeDelayNanos(nowNanos)) {
      dueNanos = nowNanos + delayNanos;
      long leadNanos = (long) (NANOS_PER_SECOND / perSecond);
      expected.add(dueNanos, dueNanos - leadNanos, dueNanos + keepNanos, limits);
      counts.onHandedOut();
      return Optional.of(delayNanos);
    }
    boolean useful = unusedPerSecond > 0 && delayNanos <= limits.maxHonouredDelayNanos(nowNanos);
    return useful ? Optional.of(delayNanos) : Optional.empty();
  }

  /**
   * Returns the tokens to expect before a number of them has arrived with some certainty: tokens
   * come at random times, and their number varies by its square root.
   */
  private static double withMargin(double tokens) {
    double root =
        (MARGIN_DEVIATIONS + Math.sqrt(MARGIN_DEVIATIONS * MARGIN_DEVIATIONS + 4 * tokens)) / 2;
    return root * root;
  }

  /** Returns a delay after which the caller no longer waits for this request. */
  private static long impossibleMillis(TokenWaiter waiter, long retryAfterMillis, long nowNanos) {
    CallerLimits limits = waiter.limits();
    long remainingMillis =
        limits.hasDeadline() ? toMillisRoundedUp(limits.deadlineNanos() - nowNanos) : 0;
    return Math.min(
        MAX_RETRY_AFTER_MILLIS,
        Math.max(MIN_IMPOSSIBLE_MILLIS, Math.max(retryAfterMillis, remainingMillis)));
  }

  private void removeLapsed(long nowNanos) {
    for (ExpectedReturns expected : returns.values()) {
      for (int lapsed = expected.removeLapsed(nowNanos); lapsed > 0; lapsed--) {
        counts.onLapsed();
        lapsesInARow++;
      }
    }
  }

  private static long toMillisRoundedUp(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos + TimeUnit.MILLISECONDS.toNanos(1) - 1);
  }
}
