package org.cornelspoke.coordination.admission;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.state.config.ServicePolicy;

/**
 * Decides at which rate an upstream that has just started, or has become cold, gets requests. The
 * load that it addresses is that of a warm upstream, which a cold one can't serve.
 *
 * <p>The statements of each origin (reports, responses, other daemons) replace earlier ones of the
 * same origin only, and the coldness that ends last counts: a delayed report that was sent before
 * the coldness doesn't end one that a response states. After the coldness the rate doubles in steps
 * until it no longer limits.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds.
 */
final class ColdPeriod implements StatedRateSource {

  /** Bounds the effect of a false statement. */
  static final long MAX_REMAINING_MILLIS = TimeUnit.MINUTES.toMillis(10);

  /**
   * Rate of a cold upstream while it is unknown whether its service has a cold rate. Any cold rate,
   * however low, tolerates 8 requests within a second; this one leads to at most 7.
   */
  private static final double UNKNOWN_REQUESTS_PER_SECOND = 3;

  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** After 10 doublings the rate is 1,024 times the cold rate, above that of a warm upstream. */
  private static final int MAX_DOUBLINGS = 10;

  private final long createdAtNanos;
  private boolean policyKnown;
  private Optional<ServicePolicy> policy = Optional.empty();
  private OptionalLong reportedEndNanos = OptionalLong.empty();
  private OptionalLong respondedEndNanos = OptionalLong.empty();
  private long respondedAtNanos;
  private OptionalLong earlierEndNanos = OptionalLong.empty();
  private OptionalLong evacuationEndedAtNanos = OptionalLong.empty();
  private OptionalLong restorationEndNanos = OptionalLong.empty();

  /**
   * Creates the state of an upstream that has stated nothing.
   *
   * @param createdAtNanos time at which this daemon learned of the upstream process
   */
  ColdPeriod(long createdAtNanos) {
    this.createdAtNanos = createdAtNanos;
  }

  /** Applies the policy of the service, or its absence, from a configuration. */
  void setPolicy(Optional<ServicePolicy> newPolicy) {
    policyKnown = true;
    policy = newPolicy;
  }

  /**
   * Processes a report of the upstream. Reports must be passed in the order in which they were
   * sent. A report that arrives late overstates the remaining time, which is safe.
   *
   * @param remainingMillis remaining cold time, 0 if warm, or empty if the report doesn't state it
   */
  void onReport(OptionalLong remainingMillis, long nowNanos) {
    if (evacuationEndedAtNanos.isPresent() && nowNanos - evacuationEndedAtNanos.getAsLong() > 0) {
      restorationEndNanos = OptionalLong.of(earlier(restorationEndNanos().getAsLong(), nowNanos));
      evacuationEndedAtNanos = OptionalLong.empty();
    }
    if (remainingMillis.isPresent()) {
      reportedEndNanos = replace(reportedEndNanos, remainingMillis.getAsLong(), nowNanos);
    }
  }

  /**
   * Processes the head of a response. A response to a request that was sent before the last
   * statement in a response can only prolong the coldness.
   */
  void onResponse(OptionalLong remainingMillis, long sentAtNanos, long nowNanos) {
    if (remainingMillis.isEmpty()) {
      return;
    }
    OptionalLong endNanos = replace(respondedEndNanos, remainingMillis.getAsLong(), nowNanos);
    boolean prolongs =
        respondedEndNanos.isEmpty() || endNanos.getAsLong() - respondedEndNanos.getAsLong() > 0;
    if (prolongs || sentAtNanos - respondedAtNanos > 0) {
      respondedEndNanos = endNanos;
      respondedAtNanos = nowNanos;
    }
  }

  /**
   * Processes the remaining time that another daemon knows from before a restart of this one. It
   * ends no later than a coldness that began when this daemon learned of the process: a later one
   * is known to this daemon first.
   */
  void onEarlierNotice(OptionalLong remainingMillis, long nowNanos) {
    if (remainingMillis.isPresent() && remainingMillis.getAsLong() > 0) {
      long endNanos = endOf(remainingMillis.getAsLong(), nowNanos);
      earlierEndNanos = later(earlierEndNanos, OptionalLong.of(endNanos));
    }
  }

  /**
   * Treats the upstream as cold until a report arrives after this moment, for at most the cold time
   * of its service: it may have been restarted while it received nothing.
   */
  void onEvacuationEnded(long nowNanos) {
    evacuationEndedAtNanos = OptionalLong.of(nowNanos);
    restorationEndNanos = OptionalLong.empty();
  }

  @Override
  public Optional<StatedRate> rate(long nowNanos) {
    OptionalLong endNanos = endNanos();
    if (endNanos.isEmpty()) {
      return Optional.empty();
    }
    double coldRate =
        policy.map(ServicePolicy::coldRequestsPerSecond).orElse(UNKNOWN_REQUESTS_PER_SECOND);
    long sinceEndNanos = nowNanos - endNanos.getAsLong();
    if (sinceEndNanos < 0) {
      return Optional.of(StatedRate.cold(coldRate));
    }
    long doublings = sinceEndNanos / STEP_NANOS;
    return doublings > MAX_DOUBLINGS
        ? Optional.empty()
        : Optional.of(StatedRate.spaced(coldRate * (1 << doublings)));
  }

  /** Returns how much longer the upstream is cold, or empty if it isn't or has no cold rate. */
  OptionalLong remainingMillis(long nowNanos) {
    OptionalLong endNanos = endNanos();
    if (endNanos.isEmpty() || endNanos.getAsLong() - nowNanos <= 0) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(1 + TimeUnit.NANOSECONDS.toMillis(endNanos.getAsLong() - nowNanos - 1));
  }

  /** Returns the end of the last coldness, or empty if there was none or it has no effect. */
  private OptionalLong endNanos() {
    if (policyKnown && policy.isEmpty()) {
      return OptionalLong.empty();
    }
    OptionalLong stated = later(reportedEndNanos, respondedEndNanos);
    return later(later(stated, earlierNoticeEndNanos()), restorationEndNanos());
  }

  private OptionalLong earlierNoticeEndNanos() {
    return earlierEndNanos.isEmpty()
        ? earlierEndNanos
        : OptionalLong.of(earlier(earlierEndNanos.getAsLong(), createdAtNanos + coldStartNanos()));
  }

  private OptionalLong restorationEndNanos() {
    return evacuationEndedAtNanos.isEmpty()
        ? restorationEndNanos
        : OptionalLong.of(evacuationEndedAtNanos.getAsLong() + coldStartNanos());
  }

  private long coldStartNanos() {
    return TimeUnit.MILLISECONDS.toNanos(
        policy.map(ServicePolicy::coldStartMillis).orElse(MAX_REMAINING_MILLIS));
  }

  private static OptionalLong replace(OptionalLong endNanos, long remainingMillis, long nowNanos) {
    boolean warmBefore = endNanos.isEmpty() || endNanos.getAsLong() - nowNanos <= 0;
    return remainingMillis <= 0 && warmBefore
        ? endNanos
        : OptionalLong.of(endOf(remainingMillis, nowNanos));
  }

  private static long endOf(long remainingMillis, long nowNanos) {
    long boundedMillis = Math.max(0, Math.min(MAX_REMAINING_MILLIS, remainingMillis));
    return nowNanos + TimeUnit.MILLISECONDS.toNanos(boundedMillis);
  }

  private static OptionalLong later(OptionalLong first, OptionalLong second) {
    if (first.isEmpty() || second.isEmpty()) {
      return first.isEmpty() ? second : first;
    }
    return first.getAsLong() - second.getAsLong() > 0 ? first : second;
  }

  private static long earlier(long first, long second) {
    return first - second < 0 ? first : second;
  }
}
