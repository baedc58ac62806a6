package org.cornelspoke.coordination.admission;

/**
 * Estimates how many requests an upstream serves at once without queueing them itself.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds.
 */
public interface ConcurrencyLimit {

  /** Returns the limit in force; at least 1 and at most the announced slots. */
  int limit();

  /** Sets the upper bound that the upstream announces. The announcement itself proves nothing. */
  void setAnnouncedSlots(int slots);

  /**
   * Learns from a completed request.
   *
   * @param latencyNanos time between admission and completion
   * @param inFlight requests in flight at completion, this one included
   */
  void onCompleted(long latencyNanos, int inFlight, Completion completion, long nowNanos);
}
