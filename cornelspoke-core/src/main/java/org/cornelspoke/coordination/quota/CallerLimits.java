package org.cornelspoke.coordination.quota;

import org.cornelspoke.util.Assert;

/**
 * What a caller has told about its time, on the monotonic clock of this daemon.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param arrivedAtNanos time at which the request arrived; counts as its first attempt
 * @param objectiveNanos response time within which a response has its full value
 * @param deadlineNanos time at which the caller gives up, or {@link #NO_DEADLINE} if unknown
 * @param honouredFraction part of the remaining time up to which callers follow a return time
 * @param returnUnitNanos unit in which return times are told
 */
public record CallerLimits(
    long arrivedAtNanos,
    long objectiveNanos,
    long deadlineNanos,
    double honouredFraction,
    long returnUnitNanos) {

  /** Stands for a deadline that the caller hasn't stated. */
  public static final long NO_DEADLINE = Long.MAX_VALUE;

  /** Limits of a caller about which nothing is known; it gets no return time. */
  public static final CallerLimits UNKNOWN = new CallerLimits(0, 0, NO_DEADLINE, 1, 1);

  /** Maximum delay of a return as a part of the objective; the rest remains for the retry. */
  public static final double MAX_OBJECTIVE_FRACTION = 0.4;

  /** Maximum wait of a return for its token as a part of the objective. */
  private static final double MAX_RETURN_WAIT_FRACTION = 0.125;

  /**
   * Largest difference of the deadlines that the attempts of one caller state: they vary with the
   * time that each attempt needs on the network. Below the shortest return delay, after which a new
   * request states a deadline that is later by that delay.
   */
  private static final long DEADLINE_TOLERANCE_NANOS = 10_000_000L;

  /** Least time between two attempts of one caller; kinds of requests may differ by less. */
  private static final long MIN_ATTEMPT_DISTANCE_NANOS = 5_000_000L;

  /** Validates the ranges. */
  public CallerLimits {
    Assert.isTrue(objectiveNanos >= 0, "objectiveNanos must be 0 or more");
    Assert.isTrue(
        honouredFraction > 0 && honouredFraction <= 1, "honouredFraction must be in (0, 1]");
    Assert.isTrue(returnUnitNanos > 0, "returnUnitNanos must be positive");
  }

  boolean isKnown() {
    return objectiveNanos > 0;
  }

  boolean hasDeadline() {
    return deadlineNanos != NO_DEADLINE;
  }

  /** Returns the remaining time of the caller at its arrival; it must have a deadline. */
  long remainingAtArrivalNanos() {
    return deadlineNanos - arrivedAtNanos;
  }

  /**
   * Returns true if this request looks like a retry of an earlier one of the same account and
   * class: its caller gives up at the same time and has less time left.
   */
  boolean isRetryOf(CallerLimits earlier) {
    return hasDeadline()
        && earlier.hasDeadline()
        && Math.abs(deadlineNanos - earlier.deadlineNanos()) <= DEADLINE_TOLERANCE_NANOS
        && remainingAtArrivalNanos()
            <= earlier.remainingAtArrivalNanos() - MIN_ATTEMPT_DISTANCE_NANOS;
  }

  /** Returns the longest delay after which a retry can still be answered within the objective. */
  long maxInTimeDelayNanos(long nowNanos) {
    long inTimeNanos = arrivedAtNanos + (long) (objectiveNanos * MAX_OBJECTIVE_FRACTION) - nowNanos;
    return Math.min(inTimeNanos, maxHonouredDelayNanos(nowNanos));
  }

  /** Returns the longest delay that the caller follows. */
  long maxHonouredDelayNanos(long nowNanos) {
    return hasDeadline()
        ? (long) (Math.max(0, deadlineNanos - nowNanos) * honouredFraction)
        : objectiveNanos;
  }

  /** Returns the time that a return may wait for its token. */
  long maxReturnWaitNanos() {
    return (long) (objectiveNanos * MAX_RETURN_WAIT_FRACTION);
  }

  /** Rounds a delay up to the unit in which return times are told. */
  long roundUp(long delayNanos) {
    return (delayNanos + returnUnitNanos - 1) / returnUnitNanos * returnUnitNanos;
  }
}
