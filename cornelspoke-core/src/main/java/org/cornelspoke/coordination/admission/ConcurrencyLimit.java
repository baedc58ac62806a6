package org.cornelspoke.coordination.admission;

/**
 * Limit on the concurrent requests to an upstream, below the point where they queue inside it.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds.
 */
public interface ConcurrencyLimit {

  /** Returns the current limit; at least 1 and at most the announced slots. */
  int limit();

  /** Sets the upper bound that the upstream announces; its real capacity may be lower. */
  void setAnnouncedSlots(int slots);

  /**
   * Updates the limit after a completed request.
   *
   * @param latencyNanos time between admission and completion
   * @param inFlight requests in flight at completion, including this one
   */
  void onCompleted(long latencyNanos, int inFlight, Completion completion, long nowNanos);
}
