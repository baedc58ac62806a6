package org.cornelspoke.coordination.quota;

import java.util.ArrayDeque;
import java.util.Deque;

/** Tokens of requests that did not run, which other requests of the daemon may use for a time. */
final class ReturnedTokens {

  /**
   * Time after its grant during which a returned token may be reused. The account's bucket refills
   * in the meantime, so a token that is reused later would add to the account's burst.
   */
  private static final long VALIDITY_NANOS = 200_000_000L;

  private final Deque<Long> endNanos = new ArrayDeque<>();

  /** Adds a token, or returns false if it is too old. */
  boolean add(long grantedAtNanos, long nowNanos) {
    return nowNanos - grantedAtNanos < VALIDITY_NANOS
        && endNanos.add(grantedAtNanos + VALIDITY_NANOS);
  }

  boolean tryTake(long nowNanos) {
    return count(nowNanos) > 0 && endNanos.poll() != null;
  }

  int count(long nowNanos) {
    while (!endNanos.isEmpty() && nowNanos - endNanos.peek() >= 0) {
      endNanos.poll();
    }
    return endNanos.size();
  }
}
