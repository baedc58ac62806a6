package org.cornelspoke.coordination.quota;

import org.cornelspoke.util.Assert;

/**
 * Intervals of the share protocol, the same in all processes.
 *
 * @param leaseNanos length of a lease
 * @param reportNanos time between reports of an active holder
 * @param proofNanos age of a proof of leadership after which a leader renews and issues nothing
 * @param idleNanos time without requests after which a holder returns its whole share
 * @param waitNanos longest time for which a request waits for a token
 */
public record ShareTimes(
    long leaseNanos, long reportNanos, long proofNanos, long idleNanos, long waitNanos) {

  /** Wait of requests unless another one is set. */
  private static final long DEFAULT_WAIT_NANOS = 50_000_000L;

  /** Part of the wait for which an owner keeps an ask; a later token meets no request. */
  private static final double KEPT_WAIT_PART = 0.9;

  /** Holders with waiting requests report at least every 80 ms. */
  private static final long MIN_REPORTED_WAIT_NANOS = 100_000_000L;

  /** Part of the wait after which a holder asks again for requests that still wait. */
  private static final double ASK_AGAIN_PART = 1.25;

  /** Least time in which a token must reach its daemon; a few round trips and batches. */
  private static final long MIN_TOKEN_NANOS = 50_000_000L;

  /** Part of the wait in which a token must come; the rest covers messages on their way. */
  private static final double USABLE_WAIT_PART = 0.9;

  /**
   * Lease 2 s, reports every 100 ms, leadership proved every second, idle after 2 s. With a lease
   * of 3 s the share of a crashed daemon was missing long enough to refuse 0.3 to 0.5% of the
   * requests wrongly; 1.5 s would leave little time for an election.
   */
  public static final ShareTimes DEFAULT =
      new ShareTimes(2_000_000_000L, 100_000_000L, 1_000_000_000L, 2_000_000_000L);

  /** Local waits are this much longer, since two clocks may differ by 1% in speed. */
  private static final double CLOCK_MARGIN = 1.02;

  /** Checks the ranges. */
  public ShareTimes {
    Assert.isTrue(reportNanos > 0, "reportNanos must be positive");
    Assert.isTrue(leaseNanos > reportNanos, "leaseNanos must be above reportNanos");
    Assert.isTrue(proofNanos > 0, "proofNanos must be positive");
    Assert.isTrue(idleNanos > 0, "idleNanos must be positive");
    Assert.isTrue(
        waitNanos > 0 && waitNanos < leaseNanos, "waitNanos must be positive, below leaseNanos");
  }

  /** Creates times with the default wait of 50 ms. */
  public ShareTimes(long leaseNanos, long reportNanos, long proofNanos, long idleNanos) {
    this(leaseNanos, reportNanos, proofNanos, idleNanos, DEFAULT_WAIT_NANOS);
  }

  /** Returns the same times with another longest wait of requests. */
  public ShareTimes withWaitNanos(long newWaitNanos) {
    return new ShareTimes(leaseNanos, reportNanos, proofNanos, idleNanos, newWaitNanos);
  }

  /** Returns how long the waiting requests of a report count. */
  long reportedWaitNanos() {
    return Math.max(MIN_REPORTED_WAIT_NANOS, askNanos());
  }

  /** Returns how long an owner keeps an ask. */
  long askNanos() {
    return (long) (waitNanos * KEPT_WAIT_PART);
  }

  /** Returns the time after an ask from which its requests are asked for again. */
  long askAgainNanos() {
    return (long) (waitNanos * ASK_AGAIN_PART);
  }

  /** Returns how long a token may be used after it was given out, and its burst is missing. */
  long tokenNanos() {
    return Math.max(MIN_TOKEN_NANOS, waitNanos / 2);
  }

  /** Returns the time in which a token must come for a request that starts to wait. */
  double usableWaitSeconds() {
    return waitNanos * USABLE_WAIT_PART / 1e9;
  }

  /** Returns how long an owner waits before it reissues what a lease of this length covered. */
  static long expiryNanos(long leaseNanos) {
    return (long) (leaseNanos * CLOCK_MARGIN);
  }

  /** Returns how long a new leader issues nothing: all leases of earlier leaders end before. */
  long quietNanos() {
    return (long) ((leaseNanos + proofNanos) * CLOCK_MARGIN);
  }
}
