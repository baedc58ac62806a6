package org.cornelspoke.coordination.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.cornelspoke.coordination.quota.ShareMessage.TokenReply;
import org.cornelspoke.coordination.quota.ShareMessage.TokenRequest;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;

/**
 * The owner's side of single tokens of one account: pending token requests, and the burst of issued
 * tokens.
 *
 * <p>An issued token takes its burst along, so that the owner's bucket can't refill before the
 * token is used or expires. The burst reverts to the owner when the token's validity ends.
 */
final class TokenAllocator {

  private record IssuedTokens(int tokens, long endNanos) {}

  private static final class PendingRequest {
    private final String holder;
    private final TokenRequest message;
    private final long arrivedAtNanos;
    private ClassAmounts requests;

    PendingRequest(String holder, TokenRequest message, long arrivedAtNanos) {
      this.holder = holder;
      this.message = message;
      this.arrivedAtNanos = arrivedAtNanos;
      this.requests = message.requests();
    }
  }

  private final AccountId account;
  private final TokenBucket spare;
  private final BiConsumer<String, ShareMessage> toHolder;
  private final ShareTimes times;
  private final DemandMeter demand;
  private final List<PendingRequest> pendingRequests = new ArrayList<>();
  private final Deque<IssuedTokens> issuedTokenGroups = new ArrayDeque<>();
  private ClassAmounts waitingRequests = ClassAmounts.NONE;
  private int issuedTokens;

  /** Creates an allocator of the spare tokens in a bucket. */
  TokenAllocator(
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

  void onTokenRequest(String holder, TokenRequest request, long nowNanos) {
    demand.onArrivals(request.requests(), nowNanos);
    pendingRequests.add(new PendingRequest(holder, request, nowNanos));
    updateWaitingRequests();
  }

  /**
   * Reclaims the burst of expired tokens and discards token requests after their retention time.
   */
  void releaseExpired(long nowNanos) {
    while (!issuedTokenGroups.isEmpty() && nowNanos - issuedTokenGroups.peek().endNanos() >= 0) {
      int tokens = issuedTokenGroups.poll().tokens();
      issuedTokens -= tokens;
      spare.add(new TokenShare(0, tokens, 0), nowNanos);
    }
    if (pendingRequests.removeIf(
        request -> nowNanos - request.arrivedAtNanos >= times.tokenRequestRetentionNanos())) {
      updateWaitingRequests();
    }
  }

  /** Ends the demand window if it is older than the given time. */
  void rollDemandWindow(long windowNanos, long nowNanos) {
    if (demand.windowIsOlderThan(windowNanos, nowNanos)) {
      demand.rollWindow(nowNanos);
    }
  }

  /** Issues spare tokens to the token requests of a class and of higher classes, oldest first. */
  void serve(TrafficClass trafficClass, long nowNanos) {
    if (waitingRequests.totalAtOrAbove(trafficClass) < 1) {
      return;
    }
    for (PendingRequest request : pendingRequests) {
      int tokens =
          (int)
              Math.min(
                  request.requests.totalAtOrAbove(trafficClass), Math.floor(spare.level(nowNanos)));
      if (tokens > 0) {
        issue(request, tokens, nowNanos);
      }
    }
    removeServed();
  }

  /** Refuses the pending requests of the newest token request in the exhausted classes. */
  void refuseNewest(Exhaustion exhaustion) {
    PendingRequest request = pendingRequests.get(pendingRequests.size() - 1);
    ClassAmounts remaining = request.requests.above(exhaustion.highest());
    if (remaining.total() < request.requests.total()) {
      request.requests = remaining;
      reply(request, 0, 0, Optional.of(exhaustion));
      removeServed();
    }
  }

  private void issue(PendingRequest request, int tokens, long nowNanos) {
    spare.remove(0, tokens, tokens, nowNanos);
    issuedTokenGroups.add(
        new IssuedTokens(tokens, nowNanos + ShareTimes.expiryNanos(times.tokenValidityNanos())));
    issuedTokens += tokens;
    request.requests = request.requests.minusHighestFirst(tokens);
    // The token request was sent before it arrived, so the token expires at the holder before the
    // burst reverts to the owner.
    reply(
        request,
        tokens,
        nowNanos - request.arrivedAtNanos + times.tokenValidityNanos(),
        Optional.empty());
  }

  private void reply(
      PendingRequest request, int tokens, long usableNanos, Optional<Exhaustion> exhaustion) {
    toHolder.accept(
        request.holder,
        new TokenReply(
            account,
            request.message.session(),
            request.message.number(),
            tokens,
            usableNanos,
            exhaustion));
  }

  private void removeServed() {
    for (Iterator<PendingRequest> iterator = pendingRequests.iterator(); iterator.hasNext(); ) {
      if (iterator.next().requests.total() < 1) {
        iterator.remove();
      }
    }
    updateWaitingRequests();
  }

  private void updateWaitingRequests() {
    waitingRequests = ClassAmounts.NONE;
    for (PendingRequest request : pendingRequests) {
      waitingRequests = waitingRequests.plus(request.requests);
    }
  }

  ClassAmounts waiting() {
    return waitingRequests;
  }

  ClassAmounts demandPerSecond(long nowNanos) {
    return demand.perSecondByClass(nowNanos);
  }

  /** Returns the number of issued tokens, each with its burst. */
  int issuedTokens() {
    return issuedTokens;
  }

  /** Discards pending requests and issued tokens. */
  void clear() {
    pendingRequests.clear();
    waitingRequests = ClassAmounts.NONE;
    issuedTokenGroups.clear();
    issuedTokens = 0;
  }

  boolean isEmpty() {
    return pendingRequests.isEmpty() && issuedTokenGroups.isEmpty();
  }
}
