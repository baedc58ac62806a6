package org.cornelspoke.coordination.admission;

import org.cornelspoke.model.RefusalReason;

/**
 * Says when a caller that was refused should come back.
 *
 * <p>Answers an overload that lasts longer than any caller waits: its chance is the same now and a
 * second later, so it comes back early enough for an answer that is still in time. Outages and
 * accounts above their rate pass with time; there the advice of the refusing part stays as it is.
 */
public final class RetryAfterPolicy {

  /** The larger part of the objective is left for the second try itself. */
  private static final double OBJECTIVE_PART = 0.4;

  private RetryAfterPolicy() {}

  /**
   * Returns the time after which to come back.
   *
   * @param suggestedMillis what the refusing part suggests
   * @param objectiveMillis time within which an answer is of full use, from the first try on
   */
  public static long retryAfterMillis(
      RefusalReason reason, long suggestedMillis, long objectiveMillis) {
    return switch (reason) {
      case DOWNSTREAM, OVERLOAD, SHED ->
          Math.min(suggestedMillis, (long) (objectiveMillis * OBJECTIVE_PART));
      default -> suggestedMillis;
    };
  }
}
