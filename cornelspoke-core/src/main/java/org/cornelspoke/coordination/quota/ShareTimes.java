package org.cornelspoke.coordination.quota;

import org.cornelspoke.util.Assert;

/**
 * Intervals of the share protocol, the same in all processes.
 *
 * @param leaseNanos length of a lease
 * @param reportNanos time between reports of an active holder
 * @param proofNanos age of a proof of leadership after which a leader renews and issues nothing
 * @param idleNanos time without requests after which a holder returns its whole share
 */
public record ShareTimes(long leaseNanos, long reportNanos, long proofNanos, long idleNanos) {

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
