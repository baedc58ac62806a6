package org.cornelspoke.coordination.retry;

import org.cornelspoke.model.CallId;

/**
 * Retry budgets of the calls that this daemon forwarded to its upstream. Nested calls borrow extra
 * attempts from their parent and return the unused ones, so a root request causes at most its
 * budget of extra attempts over the whole call chain.
 *
 * <p>Not safe for use by several threads.
 */
public interface RetryBudgets {

  /** Opens the budget of a call: the extra attempts that it and its nested calls may still make. */
  void open(CallId call, int extraAttempts);

  /**
   * Lends half of the remaining extra attempts, rounded up, to a nested call.
   *
   * @return the number of extra attempts lent; 0 if the parent is unknown
   */
  int borrow(CallId parent);

  /** Returns the unused attempts of a nested call. Does nothing if the parent is unknown. */
  void returnUnused(CallId parent, int unusedAttempts);

  /**
   * Returns true if the call has made nested calls. Such a call is not retried after a failure: the
   * failed nested call has already been retried, and another attempt would run all nested calls
   * again, which is more extra calls than the budget counts.
   */
  default boolean hasNestedCalls(CallId call) {
    return false;
  }

  /**
   * Closes the budget of a call.
   *
   * @return the number of unused extra attempts; 0 if the call is unknown
   */
  int close(CallId call);
}
