package org.cornelspoke.coordination.retry;

import org.cornelspoke.model.CallId;

/**
 * Keeps the extra attempts that are left to calls which this daemon handed to its upstream. Nested
 * calls borrow from their parent and give back what they did not use, so a root request causes at
 * most its budget of extra attempts over the whole chain.
 *
 * <p>Not safe for use by several threads.
 */
public interface RetryBudgets {

  /** Registers a call with the extra attempts that it and its nested calls may still cause. */
  void open(CallId call, int extraAttempts);

  /**
   * Lends a nested call half of what is left, rounded up.
   *
   * @return the extra attempts lent; 0 if the parent is unknown
   */
  int borrow(CallId parent);

  /** Takes back what a nested call did not use. Does nothing if the parent is unknown. */
  void returnUnused(CallId parent, int unusedAttempts);

  /**
   * Returns true if the call has made nested calls. Such a call is not repeated after a failure:
   * the nested call was repeated where it failed, and another attempt would run the whole chain
   * below again, which is more extra calls than the budget counts.
   */
  default boolean hasNestedCalls(CallId call) {
    return false;
  }

  /**
   * Ends a call.
   *
   * @return the extra attempts that were not used; 0 if the call is unknown
   */
  int close(CallId call);
}
