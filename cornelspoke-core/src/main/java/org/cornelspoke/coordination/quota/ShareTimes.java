package org.cornelspoke.coordination.quota;

import org.cornelspoke.util.Assert;

/**
 * Durations of the share protocol, the same in all processes.
 *
 * @param leaseNanos duration of a lease
 * @param reportIntervalNanos interval between reports of an active holder
 * @param proofValidityNanos age at which a confirmation of leadership expires; the leader then
 *     renews and issues nothing
 * @param idleTimeoutNanos time without requests after which a holder returns its whole share
 * @param maxWaitNanos longest time for which a request waits for a token
 * @param daemonLeaseNanos longest lease of a daemon; after a restart of its relay, a daemon that
 *     does not report may hold an unknown share for this long
 */
public record ShareTimes(
    long leaseNanos,
    long reportIntervalNanos,
    long proofValidityNanos,
    long idleTimeoutNanos,
    long maxWaitNanos,
    long daemonLeaseNanos) {

  /** Longest wait of a request unless configured otherwise. */
  private static final long DEFAULT_MAX_WAIT_NANOS = 50_000_000L;

  /**
   * Fraction of the wait for which an owner retains a token request; its requests would have
   * reached their deadline before a later token arrives.
   */
  private static final double TOKEN_REQUEST_RETENTION_FRACTION = 0.9;

  /** Holders with waiting requests report at least every 80 ms. */
  private static final long MIN_REPORTED_WAITING_RETENTION_NANOS = 100_000_000L;

  /**
   * Multiple of the wait after which a holder requests tokens again for requests that still wait.
   */
  private static final double TOKEN_REQUEST_RETRY_FACTOR = 1.25;

  /**
   * Shortest validity of a token, so that it reaches its daemon: a few round trips and batch
   * intervals.
   */
  private static final long MIN_TOKEN_VALIDITY_NANOS = 50_000_000L;

  /**
   * Fraction of the wait within which a token must be available; the rest covers messages in
   * flight.
   */
  private static final double USABLE_WAIT_FRACTION = 0.9;

  /**
   * Lease 2 s, reports every 100 ms, confirmation of leadership valid for 1 s, idle after 2 s. With
   * a lease of 3 s the share of a crashed daemon was missing long enough to refuse 0.3 to 0.5% of
   * the requests wrongly; 1.5 s would leave little time for an election.
   */
  public static final ShareTimes DEFAULT =
      new ShareTimes(2_000_000_000L, 100_000_000L, 1_000_000_000L, 2_000_000_000L);

  /** Extends local waits, since the speeds of two clocks may differ by 1%. */
  private static final double CLOCK_MARGIN_FACTOR = 1.02;

  /** Validates the ranges. */
  public ShareTimes {
    Assert.isTrue(reportIntervalNanos > 0, "reportIntervalNanos must be positive");
    Assert.isTrue(leaseNanos > reportIntervalNanos, "leaseNanos must be above reportIntervalNanos");
    Assert.isTrue(proofValidityNanos > 0, "proofValidityNanos must be positive");
    Assert.isTrue(idleTimeoutNanos > 0, "idleTimeoutNanos must be positive");
    Assert.isTrue(
        maxWaitNanos > 0 && maxWaitNanos < leaseNanos,
        "maxWaitNanos must be positive and below leaseNanos");
    Assert.isTrue(
        daemonLeaseNanos > reportIntervalNanos && daemonLeaseNanos <= leaseNanos,
        "daemonLeaseNanos must be above reportIntervalNanos and at most leaseNanos");
  }

  /** Creates times with the default wait of 50 ms. */
  public ShareTimes(
      long leaseNanos, long reportIntervalNanos, long proofValidityNanos, long idleTimeoutNanos) {
    this(
        leaseNanos,
        reportIntervalNanos,
        proofValidityNanos,
        idleTimeoutNanos,
        DEFAULT_MAX_WAIT_NANOS,
        leaseNanos);
  }

  /** Returns these times with another longest wait of requests. */
  public ShareTimes withMaxWaitNanos(long newMaxWaitNanos) {
    return new ShareTimes(
        leaseNanos,
        reportIntervalNanos,
        proofValidityNanos,
        idleTimeoutNanos,
        newMaxWaitNanos,
        daemonLeaseNanos);
  }

  /** Returns these times with another longest lease of daemons. */
  public ShareTimes withDaemonLeaseNanos(long newDaemonLeaseNanos) {
    return new ShareTimes(
        leaseNanos,
        reportIntervalNanos,
        proofValidityNanos,
        idleTimeoutNanos,
        maxWaitNanos,
        newDaemonLeaseNanos);
  }

  /** Returns how long the waiting requests of a report are taken into account. */
  long reportedWaitingRetentionNanos() {
    return Math.max(MIN_REPORTED_WAITING_RETENTION_NANOS, tokenRequestRetentionNanos());
  }

  /** Returns how long an owner retains a token request. */
  long tokenRequestRetentionNanos() {
    return (long) (maxWaitNanos * TOKEN_REQUEST_RETENTION_FRACTION);
  }

  /** Returns the time after a token request from which its requests are included again. */
  long tokenRequestRetryNanos() {
    return (long) (maxWaitNanos * TOKEN_REQUEST_RETRY_FACTOR);
  }

  /** Returns how long an issued token is valid, during which its burst stays reserved. */
  long tokenValidityNanos() {
    return Math.max(MIN_TOKEN_VALIDITY_NANOS, maxWaitNanos / 2);
  }

  /** Returns the time within which a token must be available for a request that starts to wait. */
  double usableWaitSeconds() {
    return maxWaitNanos * USABLE_WAIT_FRACTION / 1e9;
  }

  /** Returns how long an owner waits before it reissues capacity under a lease of this duration. */
  static long expiryNanos(long leaseNanos) {
    return (long) (leaseNanos * CLOCK_MARGIN_FACTOR);
  }

  /**
   * Returns how long a new leader issues nothing, so that all leases of earlier leaders end before.
   */
  public long quietPeriodNanos() {
    return (long) ((leaseNanos + proofValidityNanos) * CLOCK_MARGIN_FACTOR);
  }
}
