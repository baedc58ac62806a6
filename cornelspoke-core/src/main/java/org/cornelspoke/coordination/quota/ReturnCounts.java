package org.cornelspoke.coordination.quota;

import java.util.concurrent.atomic.LongAdder;

/** Counts return times over all accounts of a daemon. Thread-safe. */
public final class ReturnCounts {

  private final LongAdder handedOut = new LongAdder();
  private final LongAdder kept = new LongAdder();
  private final LongAdder lapsed = new LongAdder();
  private final LongAdder impossible = new LongAdder();

  /** Returns the number of return times with a reserved token. */
  public long handedOut() {
    return handedOut.sum();
  }

  /** Returns the number of return times at which a request came. */
  public long kept() {
    return kept.sum();
  }

  /** Returns the number of return times at which no request came. */
  public long lapsed() {
    return lapsed.sum();
  }

  /** Returns the number of callers that were told that a retry can't succeed. */
  public long impossible() {
    return impossible.sum();
  }

  void onHandedOut() {
    handedOut.increment();
  }

  void onKept() {
    kept.increment();
  }

  void onLapsed() {
    lapsed.increment();
  }

  void onImpossible() {
    impossible.increment();
  }
}
