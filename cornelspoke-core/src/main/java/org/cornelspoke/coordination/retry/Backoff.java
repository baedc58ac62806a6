package org.cornelspoke.coordination.retry;

import org.apache.commons.math3.random.RandomGenerator;
import org.cornelspoke.util.Assert;

/**
 * Exponential backoff with full jitter: delays are uniformly distributed between zero and a bound
 * that doubles with each attempt, so that callers that failed together do not retry together.
 *
 * <p>Safe for use by several threads if the random generator is.
 */
public final class Backoff {

  private static final int MAX_DOUBLINGS = 30;

  private final long baseNanos;
  private final long maxNanos;
  private final RandomGenerator random;

  /**
   * Creates a backoff.
   *
   * @param baseNanos bound of the first delay
   * @param maxNanos maximum bound
   */
  public Backoff(long baseNanos, long maxNanos, RandomGenerator random) {
    Assert.isTrue(baseNanos > 0, "baseNanos must be positive");
    Assert.isTrue(maxNanos >= baseNanos, "maxNanos must be at least baseNanos");
    this.baseNanos = baseNanos;
    this.maxNanos = maxNanos;
    this.random = Assert.notNull(random, "random");
  }

  /**
   * Returns the delay before an extra attempt.
   *
   * @param attempt 0 for the first extra attempt
   */
  public long delayNanos(int attempt) {
    Assert.isTrue(attempt >= 0, "attempt must be 0 or more");
    int doublings = Math.min(attempt, MAX_DOUBLINGS);
    long boundNanos = baseNanos > (maxNanos >> doublings) ? maxNanos : baseNanos << doublings;
    return (long) (random.nextDouble() * boundNanos);
  }
}
