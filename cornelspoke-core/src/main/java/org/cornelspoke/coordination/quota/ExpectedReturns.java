package org.cornelspoke.coordination.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

/** The return times of one account and class that were handed out, in their order. Bounded. */
final class ExpectedReturns {

  /** Bounds the memory of an account; 2 s of return times at 250 tokens per second. */
  private static final int MAX_RETURNS = 512;

  /** A caller's clock may run 1% faster than that of the daemon, over return times of 0.5 s. */
  private static final long EARLY_NANOS = 5_000_000L;

  private record ExpectedReturn(
      long dueNanos, long reservedFromNanos, long endNanos, CallerLimits limits) {}

  private final Deque<ExpectedReturn> returns = new ArrayDeque<>();
  private long lastDueNanos;
  private boolean anyHandedOut;

  boolean isFull() {
    return returns.size() >= MAX_RETURNS;
  }

  /** Returns the first time that is at least the interval after the last return time. */
  long nextDueNanos(long earliestNanos, long intervalNanos) {
    return anyHandedOut && lastDueNanos + intervalNanos - earliestNanos > 0
        ? lastDueNanos + intervalNanos
        : earliestNanos;
  }

  /** Adds a return time, which must not be before the last one. */
  void add(long dueNanos, long reservedFromNanos, long endNanos, CallerLimits limits) {
    returns.add(new ExpectedReturn(dueNanos, reservedFromNanos, endNanos, limits));
    lastDueNanos = dueNanos;
    anyHandedOut = true;
  }

  /** Returns the return time that was handed out to an earlier attempt of this caller. */
  Optional<Long> dueNanosOf(CallerLimits limits) {
    for (ExpectedReturn expected : returns) {
      if (limits.isRetryOf(expected.limits())) {
        return Optional.of(expected.dueNanos());
      }
    }
    return Optional.empty();
  }

  /**
   * Removes the return time that a request uses and returns true, or returns false if there is
   * none.
   *
   * @param anyCaller true if a request may use a return time of another caller
   */
  boolean use(CallerLimits limits, boolean anyCaller, long nowNanos) {
    for (Iterator<ExpectedReturn> iterator = returns.iterator(); iterator.hasNext(); ) {
      ExpectedReturn expected = iterator.next();
      if (nowNanos - expected.dueNanos() < -EARLY_NANOS) {
        return false;
      }
      boolean unrecognisable = !limits.hasDeadline() || !expected.limits().hasDeadline();
      if (anyCaller || unrecognisable || limits.isRetryOf(expected.limits())) {
        iterator.remove();
        return true;
      }
    }
    return false;
  }

  /** Removes the return times that have passed and returns their number. */
  int removeLapsed(long nowNanos) {
    int lapsed = 0;
    while (!returns.isEmpty() && nowNanos - returns.peek().endNanos() >= 0) {
      returns.poll();
      lapsed++;
    }
    return lapsed;
  }

  int reservedTokens(long nowNanos) {
    int count = 0;
    for (ExpectedReturn expected : returns) {
      if (nowNanos - expected.reservedFromNanos() < 0) {
        break;
      }
      count++;
    }
    return count;
  }

  int countBefore(long endNanos) {
    int count = 0;
    for (ExpectedReturn expected : returns) {
      if (expected.dueNanos() - endNanos >= 0) {
        break;
      }
      count++;
    }
    return count;
  }
}
