package org.cornelspoke.coordination.retry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.cornelspoke.model.CallId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against retries that multiply along a call chain or exceed the ratio of a throttle. */
class RetryBudgetTest {

  /**
   * Call tree in which each daemon retries failed nested calls within the budget. With a positive
   * {@code perHopRetries}, the control case, every hop retries independently of the budget.
   */
  private static final class CallTree {
    private final DefaultRetryBudgets budgets = new DefaultRetryBudgets();
    private final RandomGenerator random;
    private final int depth;
    private final int fanOut;
    private final double failureRatio;
    private final int perHopRetries;
    private int calls;
    private int firstAttempts;
    private int nextId;

    CallTree(
        RandomGenerator random, int depth, int fanOut, double failureRatio, int perHopRetries) {
      this.random = random;
      this.depth = depth;
      this.fanOut = fanOut;
      this.failureRatio = failureRatio;
      this.perHopRetries = perHopRetries;
    }

    private record Outcome(boolean success, int unused, boolean nested) {}

    Outcome call(int level, int budget) {
      firstAttempts++;
      int remaining = budget;
      for (int attempt = 0; ; attempt++) {
        calls++;
        Outcome outcome = handle(level, remaining);
        remaining = outcome.unused;
        boolean mayRetry =
            perHopRetries > 0 ? attempt < perHopRetries : remaining > 0 && !outcome.nested;
        if (outcome.success || !mayRetry) {
          return new Outcome(outcome.success, remaining, outcome.nested);
        }
        remaining = Math.max(0, remaining - 1);
      }
    }

    private Outcome handle(int level, int budget) {
      CallId id = new CallId(String.format("%032x", nextId++));
      budgets.open(id, budget);
      boolean success = level < depth || random.nextDouble() >= failureRatio;
      for (int i = 0; success && level < depth && i < fanOut; i++) {
        Outcome nested = call(level + 1, budgets.borrow(id));
        budgets.returnUnused(id, nested.unused);
        success = nested.success;
      }
      boolean hasNested = budgets.hasNestedCalls(id);
      return new Outcome(success, budgets.close(id), hasNested);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 3, 8, 40})
  void chainOf21WithFailingLeafMakesAtMostBudgetExtraCalls(int budget) {
    CallTree tree = new CallTree(new Well19937c(1), 21, 1, 1, 0);
    tree.call(1, budget);
    assertThat(tree.calls).isAtMost(21 + budget);
    assertThat(tree.calls).isAtLeast(21 + Math.min(1, budget));
    assertThat(tree.budgets.openCallCount()).isEqualTo(0);
  }

  @Test
  void treesWithFailingLeavesMakeAtMostBudgetExtraCalls() {
    RandomGenerator random = new Well19937c(7);
    int extra = 0;
    for (int run = 0; run < 2000; run++) {
      int budget = random.nextInt(6);
      CallTree tree = new CallTree(random, 1 + random.nextInt(6), 1 + random.nextInt(3), 0.5, 0);
      tree.call(1, budget);
      assertWithMessage("run %s", run).that(tree.calls - tree.firstAttempts).isAtMost(budget);
      extra += tree.calls - tree.firstAttempts;
    }
    assertThat(extra).isGreaterThan(500);
  }

  @Test
  void retriesPerHopExceedTheBudget() {
    CallTree tree = new CallTree(new Well19937c(1), 10, 1, 1, 2);
    tree.call(1, 2);
    assertThat(tree.calls).isGreaterThan(10 + 2);
  }

  @Test
  void returningMoreThanWasLentAddsNothing() {
    DefaultRetryBudgets budgets = new DefaultRetryBudgets();
    CallId id = new CallId(String.format("%032x", 1));
    budgets.open(id, 4);
    assertThat(budgets.borrow(id)).isEqualTo(2);
    budgets.returnUnused(id, 100);
    budgets.returnUnused(id, 100);
    assertThat(budgets.close(id)).isEqualTo(4);
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
  void throttleBoundsRetriesAfterAnIdlePeriod() {
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
