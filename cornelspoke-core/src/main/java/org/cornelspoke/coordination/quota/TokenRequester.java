package org.cornelspoke.coordination.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.cornelspoke.coordination.quota.ShareMessage.TokenReply;
import org.cornelspoke.coordination.quota.ShareMessage.TokenRequest;
import org.cornelspoke.model.AccountId;

/**
 * The holder's side of single tokens of one account without a share: outstanding token requests,
 * received tokens, and whether the account is exhausted.
 *
 * <p>Used for accounts of which a daemon gets only occasional requests. A share of such an account
 * would be idle most of the time, and its reports would cost more than its requests.
 */
final class TokenRequester {

  /**
   * Shortest time between two token requests; requests that arrive in between are included in the
   * next one.
   */
  private static final long MIN_REQUEST_INTERVAL_NANOS = 5_000_000L;

  private final AccountId account;
  private final Consumer<ShareMessage> toOwner;
  private final long tokenRequestRetryNanos;
  private final Map<Long, SentRequest> recentRequests = new HashMap<>();
  private final Deque<Long> tokenEndNanos = new ArrayDeque<>();
  private boolean connected;
  private long session;
  private long number;
  private long lastRequestAtNanos;
  private Optional<Exhaustion> exhaustion = Optional.empty();
  private long exhaustedEndNanos;

  private record SentRequest(ClassAmounts requests, long sentAtNanos) {}

  /**
   * Creates a requester without outstanding token requests.
   *
   * @param tokenRequestRetryNanos time after a token request from which no reply is expected
   */
  TokenRequester(AccountId account, long tokenRequestRetryNanos, Consumer<ShareMessage> toOwner) {
    this.account = account;
    this.tokenRequestRetryNanos = tokenRequestRetryNanos;
    this.toOwner = toOwner;
  }

  /** Starts a session; replies to token requests of an earlier session are ignored. */
  void open(long newSession) {
    connected = true;
    session = newSession;
    number = 0;
    recentRequests.clear();
  }

  void close() {
    connected = false;
    recentRequests.clear();
  }

  boolean mayRequest(long nowNanos) {
    return connected
        && (number == 0 || nowNanos - lastRequestAtNanos >= MIN_REQUEST_INTERVAL_NANOS);
  }

  void request(ClassAmounts requests, long nowNanos) {
    number++;
    lastRequestAtNanos = nowNanos;
    recentRequests.put(number, new SentRequest(requests, nowNanos));
    toOwner.accept(new TokenRequest(account, session, number, requests));
  }

  /**
   * Handles a reply.
   *
   * @return the requests included in the token request; those of exhausted classes get no token
   */
  ClassAmounts onTokenReply(TokenReply reply, long nowNanos) {
    SentRequest sent = reply.session() == session ? recentRequests.get(reply.number()) : null;
    if (sent == null) {
      return ClassAmounts.NONE;
    }
    for (int i = 0; i < reply.count(); i++) {
      tokenEndNanos.add(sent.sentAtNanos() + reply.usableNanos());
    }
    reply.exhaustion().ifPresent(state -> setExhausted(reply.exhaustion(), nowNanos));
    return sent.requests();
  }

  /** Records the owner's view of the account's exhaustion. */
  void setExhausted(Optional<Exhaustion> state, long nowNanos) {
    exhaustion = state;
    exhaustedEndNanos = nowNanos + state.map(Exhaustion::nanos).orElse(0L);
  }

  /** Returns the account's exhaustion according to the owner's last message. */
  Optional<Exhaustion> exhaustion(long nowNanos) {
    return nowNanos - exhaustedEndNanos < 0 ? exhaustion : Optional.empty();
  }

  /** Returns the time until the account is no longer exhausted, or 0 if it isn't exhausted. */
  long exhaustedNanos(long nowNanos) {
    return Math.max(0, exhaustedEndNanos - nowNanos);
  }

  /** Returns true if a token request is so recent that further replies may arrive. */
  boolean isReplyPending(long nowNanos) {
    recentRequests
        .values()
        .removeIf(sent -> nowNanos - sent.sentAtNanos() >= tokenRequestRetryNanos);
    return !recentRequests.isEmpty();
  }

  boolean tryTake(long nowNanos) {
    return tokens(nowNanos) > 0 && tokenEndNanos.poll() != null;
  }

  /** Returns the number of tokens that are held. */
  int tokens(long nowNanos) {
    while (!tokenEndNanos.isEmpty() && nowNanos - tokenEndNanos.peek() >= 0) {
      tokenEndNanos.poll();
    }
    return tokenEndNanos.size();
  }
}
