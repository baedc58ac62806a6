package org.cornelspoke.coordination.admission;

import org.cornelspoke.model.RefusalReason;

/**
 * Computes the retry delay that is returned to a refused caller.
 *
 * <p>An overload usually outlasts the time that a caller waits, and a retry is as likely to succeed
 * now as a second later. The delay is therefore short enough for a response within the objective.
 * Outages and rate limits pass with time, so the suggested delay is kept for them.
 */
public final class RetryAfterPolicy {

  /** Maximum delay as a fraction of the objective; the rest remains for the retry itself. */
  private static final double MAX_OBJECTIVE_FRACTION = 0.4;

  private RetryAfterPolicy() {}

  /**
   * Returns the delay before the retry.
   *
   * @param suggestedMillis delay suggested by the component that refused the request
   * @param objectiveMillis target response time, measured from the first attempt
   */
  public static long retryAfterMillis(
      RefusalReason reason, long suggestedMillis, long objectiveMillis) {
    return switch (reason) {
      case DOWNSTREAM, OVERLOAD, SHED ->
          Math.min(suggestedMillis, (long) (objectiveMillis * MAX_OBJECTIVE_FRACTION));
      default -> suggestedMillis;
    };
  }
}
