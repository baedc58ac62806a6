package org.cornelspoke.coordination.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.cornelspoke.coordination.quota.ShareMessage.Ask;
import org.cornelspoke.coordination.quota.ShareMessage.Tokens;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;

/**
 * An owner's side of single tokens of one account: the asks that wait, and the burst of the tokens
 * that are out.
 *
 * <p>A token that was given out takes its burst along, so that the owner's bucket can't refill
 * before the token is used or void. The burst comes back by time alone.
 */
final class TokenBook {

  private record Out(int tokens, long endNanos) {}

  private static final class Waiting {
    private final String holder;
    private final Ask ask;
    private final long arrivedNanos;
    private ClassAmounts requests;

    Waiting(String holder, Ask ask, long arrivedNanos) {
      this.holder = holder;
      this.ask = ask;
      this.arrivedNanos = arrivedNanos;
      this.requests = ask.requests();
    }
  }

  private final AccountId account;
  private final TokenBucket spare;
  private final BiConsumer<String, ShareMessage> toHolder;
  private final ShareTimes times;
  private final DemandMeter demand;
  private final List<Waiting> waiting = new ArrayList<>();
  private final Deque<Out> out = new ArrayDeque<>();
  private ClassAmounts waitingRequests = ClassAmounts.NONE;
  private int outTokens;

  /** Creates a book of the spare tokens in a bucket. */
  TokenBook(
      AccountId account,
      TokenBucket spare,
      BiConsumer<String, ShareMessage> toHolder,
      ShareTimes times,
      long nowNanos) {
    this.times = times;
    this.account = account;
    this.spare = spare;
    this.toHolder = toHolder;
    demand = new DemandMeter(nowNanos);
  }

  void onAsk(String holder, Ask ask, long nowNanos) {
    demand.onArrivals(ask.requests(), nowNanos);
    waiting.add(new Waiting(holder, ask, nowNanos));
    countWaiting();
  }

  /** Takes back the burst of void tokens and drops asks whose requests have given up. */
  void releaseExpired(long nowNanos) {
    while (!out.isEmpty() && nowNanos - out.peek().endNanos() >= 0) {
      int tokens = out.poll().tokens();
      outTokens -= tokens;
      spare.add(new TokenShare(0, tokens, 0), nowNanos);
    }
    if (waiting.removeIf(ask -> nowNanos - ask.arrivedNanos >= times.askNanos())) {
      countWaiting();
    }
  }

  /** Ends the demand's window if it is older than the given time. */
  void rollDemand(long windowNanos, long nowNanos) {
    if (demand.windowIsOlderThan(windowNanos, nowNanos)) {
      demand.roll(nowNanos);
    }
  }

  /** Gives spare tokens to the asks of a class and of those that outrank it, oldest first. */
  void serve(TrafficClass trafficClass, long nowNanos) {
    if (waitingRequests.upTo(trafficClass) < 1) {
      return;
    }
    for (Waiting ask : waiting) {
      int tokens =
          (int) Math.min(ask.requests.upTo(trafficClass), Math.floor(spare.level(nowNanos)));
      if (tokens > 0) {
        give(ask, tokens, nowNanos);
      }
    }
    dropServed();
  }

  /** Refuses what waits of an ask, the newest one, in the exhausted classes. */
  void refuseNewest(Exhaustion exhaustion) {
    Waiting ask = waiting.get(waiting.size() - 1);
    ClassAmounts left = ask.requests.above(exhaustion.highest());
    if (left.total() < ask.requests.total()) {
      ask.requests = left;
      answer(ask, 0, 0, Optional.of(exhaustion));
      dropServed();
    }
  }

  private void give(Waiting ask, int tokens, long nowNanos) {
    spare.remove(0, tokens, tokens, nowNanos);
    out.add(new Out(tokens, nowNanos + ShareTimes.expiryNanos(times.tokenNanos())));
    outTokens += tokens;
    ask.requests = ask.requests.lessFirst(tokens);
    // The ask was sent before it arrived, so the holder's time ends before the burst comes back.
    answer(ask, tokens, nowNanos - ask.arrivedNanos + times.tokenNanos(), Optional.empty());
  }

  private void answer(Waiting ask, int tokens, long usableNanos, Optional<Exhaustion> exhaustion) {
    toHolder.accept(
        ask.holder,
        new Tokens(account, ask.ask.session(), ask.ask.number(), tokens, usableNanos, exhaustion));
  }

  private void dropServed() {
    for (Iterator<Waiting> all = waiting.iterator(); all.hasNext(); ) {
      if (all.next().requests.total() < 1) {
        all.remove();
      }
    }
    countWaiting();
  }

  private void countWaiting() {
    waitingRequests = ClassAmounts.NONE;
    for (Waiting ask : waiting) {
      waitingRequests = waitingRequests.plus(ask.requests);
    }
  }

  ClassAmounts waiting() {
    return waitingRequests;
  }

  ClassAmounts demandPerSecond(long nowNanos) {
    return demand.perSecondByClass(nowNanos);
  }

  /** Returns the tokens that are out, each with its burst. */
  int outTokens() {
    return outTokens;
  }

  /** Forgets what waits and what is out. */
  void clear() {
    waiting.clear();
    waitingRequests = ClassAmounts.NONE;
    out.clear();
    outTokens = 0;
  }

  boolean isEmpty() {
    return waiting.isEmpty() && out.isEmpty();
  }
}
