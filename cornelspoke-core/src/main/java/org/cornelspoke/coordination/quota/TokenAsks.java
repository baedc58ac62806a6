package org.cornelspoke.coordination.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.cornelspoke.coordination.quota.ShareMessage.Ask;
import org.cornelspoke.coordination.quota.ShareMessage.Tokens;
import org.cornelspoke.model.AccountId;

/**
 * A holder's side of single tokens of one account, without a share: what was asked for, the tokens
 * that came, and whether the account is exhausted.
 *
 * <p>Answers accounts of which a daemon gets a request now and then. A share of such an account
 * would mostly lie idle, and its reports would cost more than its requests.
 */
final class TokenAsks {

  /** Shortest time between two asks; requests that arrive meanwhile share the next one. */
  private static final long MIN_ASK_NANOS = 5_000_000L;

  private final AccountId account;
  private final Consumer<ShareMessage> toOwner;
  private final long askAgainNanos;
  private final Map<Long, Sent> recentAsks = new HashMap<>();
  private final Deque<Long> tokenEndNanos = new ArrayDeque<>();
  private boolean connected;
  private long session;
  private long number;
  private long lastAskNanos;
  private Optional<Exhaustion> exhaustion = Optional.empty();
  private long exhaustedEndNanos;

  private record Sent(ClassAmounts requests, long sentNanos) {}

  /**
   * Creates the asks of an account.
   *
   * @param askAgainNanos time after an ask from which no answer is expected any more
   */
  TokenAsks(AccountId account, long askAgainNanos, Consumer<ShareMessage> toOwner) {
    this.account = account;
    this.askAgainNanos = askAgainNanos;
    this.toOwner = toOwner;
  }

  /** Starts a session; answers to asks of an earlier one are ignored. */
  void open(long newSession) {
    connected = true;
    session = newSession;
    number = 0;
    recentAsks.clear();
  }

  void close() {
    connected = false;
    recentAsks.clear();
  }

  boolean mayAsk(long nowNanos) {
    return connected && (number == 0 || nowNanos - lastAskNanos >= MIN_ASK_NANOS);
  }

  void ask(ClassAmounts requests, long nowNanos) {
    number++;
    lastAskNanos = nowNanos;
    recentAsks.put(number, new Sent(requests, nowNanos));
    toOwner.accept(new Ask(account, session, number, requests));
  }

  /**
   * Takes an answer.
   *
   * @return the requests behind the ask; the exhausted ones among them get no token
   */
  ClassAmounts onTokens(Tokens answer, long nowNanos) {
    Sent sent = answer.session() == session ? recentAsks.get(answer.number()) : null;
    if (sent == null) {
      return ClassAmounts.NONE;
    }
    for (int i = 0; i < answer.count(); i++) {
      tokenEndNanos.add(sent.sentNanos() + answer.usableNanos());
    }
    answer.exhaustion().ifPresent(state -> setExhausted(answer.exhaustion(), nowNanos));
    return sent.requests();
  }

  /** Notes what the owner says of the whole account. */
  void setExhausted(Optional<Exhaustion> state, long nowNanos) {
    exhaustion = state;
    exhaustedEndNanos = nowNanos + state.map(Exhaustion::nanos).orElse(0L);
  }

  /** Returns whether the account is exhausted, by the last word of the owner. */
  Optional<Exhaustion> exhaustion(long nowNanos) {
    return nowNanos - exhaustedEndNanos < 0 ? exhaustion : Optional.empty();
  }

  /** Returns the time until the account is no longer exhausted; 0 if it isn't. */
  long exhaustedNanos(long nowNanos) {
    return Math.max(0, exhaustedEndNanos - nowNanos);
  }

  /** Returns true if an ask was sent so recently that more answers to it may come. */
  boolean isAsking(long nowNanos) {
    recentAsks.values().removeIf(sent -> nowNanos - sent.sentNanos() >= askAgainNanos);
    return !recentAsks.isEmpty();
  }

  boolean tryTake(long nowNanos) {
    while (!tokenEndNanos.isEmpty() && nowNanos - tokenEndNanos.peek() >= 0) {
      tokenEndNanos.poll();
    }
    return tokenEndNanos.poll() != null;
  }
}
