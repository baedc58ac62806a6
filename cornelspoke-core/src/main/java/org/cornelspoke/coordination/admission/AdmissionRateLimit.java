package org.cornelspoke.coordination.admission;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Spaces the admissions of a gate so that they stay within the request rate that its upstream
 * states. Without a stated rate, every admission is permitted. A rate that also counts the requests
 * of the past second holds back further ones if the upstream got many before it stated the rate.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds.
 */
final class AdmissionRateLimit {

  /** Requests that are sent despite a lower stated rate, since their responses tell its end. */
  private static final double MIN_REQUESTS_PER_SECOND = 0.5;

  /**
   * Time over which unused permits accumulate. It spans several ticks of a gate, so that the rate
   * is reached although waiting requests are admitted only on ticks and completions.
   */
  private static final double ACCUMULATION_SECONDS = 0.1;

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final RecentAdmissions recentAdmissions = new RecentAdmissions();
  private boolean active;
  private double permitsPerSecond;
  private int maxPerSecond;
  private double permits;
  private long updatedAtNanos;

  /** Sets the stated rate; a new limit starts without permits. */
  void set(Optional<StatedRate> rate, long nowNanos) {
    if (rate.isEmpty()) {
      active = false;
      return;
    }
    if (active) {
      accumulate(nowNanos);
    } else {
      active = true;
      permits = 0;
      updatedAtNanos = nowNanos;
    }
    permitsPerSecond = Math.max(MIN_REQUESTS_PER_SECOND, rate.get().requestsPerSecond());
    maxPerSecond = rate.get().maxPerSecond();
    permits = Math.min(permits, maxPermits());
  }

  boolean isActive() {
    return active;
  }

  /** Returns true if a request may be admitted now. */
  boolean hasPermit(long nowNanos) {
    if (!active) {
      return true;
    }
    accumulate(nowNanos);
    return permits >= 1 && recentAdmissions.waitNanos(maxPerSecond, nowNanos) == 0;
  }

  /** Uses the permit of a request that is admitted. Admissions count also without a limit. */
  void usePermit(long nowNanos) {
    recentAdmissions.add(nowNanos);
    if (active) {
      permits--;
    }
  }

  /** Returns the time in which the given number of requests is admitted, or 0 without a limit. */
  double admissionNanos(double requests) {
    return active
        ? recentAdmissions.waitNanos(maxPerSecond, updatedAtNanos)
            + requests / permitsPerSecond * NANOS_PER_SECOND
        : 0;
  }

  /**
   * Returns the concurrent requests to which the rate leads, or the given maximum if there is no
   * limit.
   *
   * @param serviceNanos mean time for which the upstream works on a request
   */
  int concurrency(double serviceNanos, int max) {
    if (!active) {
      return max;
    }
    double requests = permitsPerSecond * serviceNanos / NANOS_PER_SECOND;
    return (int) Math.max(1, Math.min(max, Math.ceil(requests)));
  }

  private double maxPermits() {
    return Math.max(1, permitsPerSecond * ACCUMULATION_SECONDS);
  }

  private void accumulate(long nowNanos) {
    long elapsedNanos = nowNanos - updatedAtNanos;
    if (elapsedNanos > 0) {
      permits =
          Math.min(maxPermits(), permits + permitsPerSecond * elapsedNanos / NANOS_PER_SECOND);
      updatedAtNanos = nowNanos;
    }
  }
}
