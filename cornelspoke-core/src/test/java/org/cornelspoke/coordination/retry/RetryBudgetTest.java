package org.cornelspoke.coordination.retry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.cornelspoke.model.CallId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against retries that multiply along a call chain or exceed the ratio of a daemon. */
class RetryBudgetTest {

  /**
   * A tree of calls in which each daemon repeats failed nested calls within its budget. A positive
   * {@code perHopRetries} is the naive twin: every hop repeats on its own.
   */
  private static final class CallTree {
    private final DefaultRetryBudgets ledger = new DefaultRetryBudgets();
    private final RandomGenerator random;
    private final int depth;
    private final int fanOut;
    private final double failurePart;
    private final int perHopRetries;
    private int calls;
    private int firstCalls;
    private int nextId;

    CallTree(RandomGenerator random, int depth, int fanOut, double failurePart, int perHop) {
      this.random = random;
      this.depth = depth;
      this.fanOut = fanOut;
      this.failurePart = failurePart;
      this.perHopRetries = perHop;
    }

    private record Outcome(boolean success, int unused, boolean nested) {}

    Outcome call(int level, int budget) {
      firstCalls++;
      int left = budget;
      for (int attempt = 0; ; attempt++) {
        calls++;
        Outcome outcome = handle(level, left);
        left = outcome.unused;
        boolean mayRepeat =
            perHopRetries > 0 ? attempt < perHopRetries : left > 0 && !outcome.nested;
        if (outcome.success || !mayRepeat) {
          return new Outcome(outcome.success, left, outcome.nested);
        }
        left = Math.max(0, left - 1);
      }
    }

    private Outcome handle(int level, int budget) {
      CallId id = new CallId(String.format("%032x", nextId++));
      ledger.open(id, budget);
      boolean success = level < depth || random.nextDouble() >= failurePart;
      for (int i = 0; success && level < depth && i < fanOut; i++) {
        Outcome nested = call(level + 1, ledger.borrow(id));
        ledger.returnUnused(id, nested.unused);
        success = nested.success;
      }
      boolean hasNested = ledger.hasNestedCalls(id);
      return new Outcome(success, ledger.close(id), hasNested);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 3, 8, 40})
  void chainOf21WithFailingEndMakesAtMostBudgetExtraCalls(int budget) {
    CallTree tree = new CallTree(new Well19937c(1), 21, 1, 1, 0);
    tree.call(1, budget);
    assertThat(tree.calls).isAtMost(21 + budget);
    assertThat(tree.calls).isAtLeast(21 + Math.min(1, budget));
    assertThat(tree.ledger.openCallCount()).isEqualTo(0);
  }

  @Test
  void treesWithFailingLeavesMakeAtMostBudgetExtraCalls() {
    RandomGenerator random = new Well19937c(7);
    int extra = 0;
    for (int run = 0; run < 2000; run++) {
      int budget = random.nextInt(6);
      CallTree tree = new CallTree(random, 1 + random.nextInt(6), 1 + random.nextInt(3), 0.5, 0);
      tree.call(1, budget);
      assertWithMessage("run %s", run).that(tree.calls - tree.firstCalls).isAtMost(budget);
      extra += tree.calls - tree.firstCalls;
    }
    assertThat(extra).isGreaterThan(500);
  }

  @Test
  void countRejectsRetriesPerHop() {
    CallTree tree = new CallTree(new Well19937c(1), 10, 1, 1, 2);
    tree.call(1, 2);
    assertThat(tree.calls).isGreaterThan(10 + 2);
  }

  @Test
  void returningMoreThanWasLentAddsNothing() {
    DefaultRetryBudgets ledger = new DefaultRetryBudgets();
    CallId id = new CallId(String.format("%032x", 1));
    ledger.open(id, 4);
    assertThat(ledger.borrow(id)).isEqualTo(2);
    ledger.returnUnused(id, 100);
    ledger.returnUnused(id, 100);
    assertThat(ledger.close(id)).isEqualTo(4);
  }

  @Test
  void throttleAllowsRatioAndOnePerSecond() {
    RandomGenerator random = new Well19937c(3);
    DefaultRetryThrottle throttle = new DefaultRetryThrottle(0.1);
    long now = 0;
    int requests = 0;
    int retries = 0;
    for (int i = 0; i < 200_000; i++) {
      now += random.nextInt(2_000_000);
      if (random.nextInt(3) == 0) {
        throttle.onRequest(now);
        requests++;
      } else if (throttle.tryRetry(now)) {
        retries++;
      }
      assertThat((double) retries).isAtMost(0.1 * requests + now / 1e9 + 1);
    }
    assertThat(retries).isGreaterThan(requests / 11);
  }

  @Test
  void throttleDoesNotSaveUpALongQuietTime() {
    DefaultRetryThrottle throttle = new DefaultRetryThrottle(0.1);
    for (int i = 0; i < 100_000; i++) {
      throttle.onRequest(i);
    }
    int retries = 0;
    while (throttle.tryRetry(3_600_000_000_000L)) {
      retries++;
    }
    assertThat(retries).isAtMost(11);
  }

  @Test
  void backoffStaysBelowItsGrowingBound() {
    Backoff backoff = new Backoff(1_000, 10_000, new Well19937c(5));
    for (int attempt = 0; attempt < 70; attempt++) {
      long bound = attempt < 4 ? 1_000L << attempt : 10_000;
      assertThat(backoff.delayNanos(attempt))
          .isIn(com.google.common.collect.Range.closed(0L, bound));
    }
  }
}
