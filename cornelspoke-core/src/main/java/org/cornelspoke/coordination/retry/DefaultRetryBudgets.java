package org.cornelspoke.coordination.retry;

import java.util.HashMap;
import java.util.Map;
import org.cornelspoke.model.CallId;
import org.cornelspoke.util.Assert;

/**
 * Keeps the retry budgets of the open calls in memory.
 *
 * <p>A budget never exceeds its initial value: returned attempts are accepted only up to the number
 * lent, so a repeated or forged return adds nothing. Not safe for use by several threads.
 */
public final class DefaultRetryBudgets implements RetryBudgets {

  private final Map<CallId, Budget> budgets = new HashMap<>();

  /**
   * Opens the budget of a call.
   *
   * @throws IllegalArgumentException if the call is already open or the budget is negative
   */
  @Override
  public void open(CallId call, int extraAttempts) {
    Assert.notNull(call, "call");
    Assert.isTrue(extraAttempts >= 0, "extraAttempts must be 0 or more");
    Assert.isTrue(!budgets.containsKey(call), "call must not be open already");
    budgets.put(call, new Budget(extraAttempts));
  }

  @Override
  public int borrow(CallId parent) {
    Budget budget = budgets.get(parent);
    if (budget == null) {
      return 0;
    }
    int lent = (budget.remaining + 1) / 2;
    budget.nested = true;
    budget.remaining -= lent;
    budget.lent += lent;
    return lent;
  }

  @Override
  public void returnUnused(CallId parent, int unusedAttempts) {
    Budget budget = budgets.get(parent);
    if (budget == null) {
      return;
    }
    int returned = Math.max(0, Math.min(unusedAttempts, budget.lent));
    budget.lent -= returned;
    budget.remaining += returned;
  }

  @Override
  public boolean hasNestedCalls(CallId call) {
    Budget budget = budgets.get(call);
    return budget != null && budget.nested;
  }

  @Override
  public int close(CallId call) {
    Budget budget = budgets.remove(call);
    return budget == null ? 0 : budget.remaining;
  }

  /** Returns the number of open budgets. */
  public int openCallCount() {
    return budgets.size();
  }

  private static final class Budget {
    private int remaining;
    private int lent;
    private boolean nested;

    private Budget(int remaining) {
      this.remaining = remaining;
    }
  }
}
