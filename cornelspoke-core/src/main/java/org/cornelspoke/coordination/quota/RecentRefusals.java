package org.cornelspoke.coordination.quota;

import java.util.concurrent.TimeUnit;

/**
 * The callers of one account and class that were refused last, so that a caller that repeats at
 * once is recognised. Bounded; older refusals are overwritten.
 */
final class RecentRefusals {

  private static final int CAPACITY = 64;

  /** Callers that repeat at once do so within a few round trips. */
  private static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private record Refusal(CallerLimits limits, long atNanos) {}

  private final Refusal[] refusals = new Refusal[CAPACITY];
  private int next;

  void add(CallerLimits limits, long nowNanos) {
    refusals[next] = new Refusal(limits, nowNanos);
    next = (next + 1) % CAPACITY;
  }

  /** Returns true if an earlier attempt of this caller was refused a moment ago. */
  boolean contains(CallerLimits limits, long nowNanos) {
    for (Refusal refusal : refusals) {
      if (refusal != null
          && nowNanos - refusal.atNanos() < MAX_AGE_NANOS
          && limits.isRetryOf(refusal.limits())) {
        return true;
      }
    }
    return false;
  }
}
