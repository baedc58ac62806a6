package org.cornelspoke.daemon.traffic;

import java.util.concurrent.TimeUnit;
import org.cornelspoke.util.Assert;

/**
 * The schedule of a graceful stop, and which requests a stopping daemon still accepts.
 *
 * <p>A request is accepted if it ends before the daemon does. Its deadline is the only bound for
 * that, because any upstream may take longer than usual. Two kinds of requests are accepted
 * although their deadline is later, because a refusal would serve their callers worse: those that
 * arrive before callers can know of the stop, and nested calls of requests that still run at the
 * local upstream, which have no other daemon to go to. Their deadline is limited to {@link
 * #lastDeadlineNanos}, so that they end with a response as well.
 */
final class GracefulStop {

  /** Maximum time for peers and callers to read the final responses and close. */
  static final long FINAL_RESPONSES_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Fraction of the drain time during which calls for the local upstream are accepted. */
  private static final double SERVING_FRACTION = 0.5;

  /**
   * Maximum fraction of the stop timeout reserved for final responses, so that they do not prolong
   * the stop.
   */
  private static final double FINAL_RESPONSES_FRACTION = 0.15;

  /** Maximum fraction of the stop timeout during which callers are assumed not to know of it. */
  private static final double NOTICE_FRACTION = 0.5;

  /** Fraction of the time for final responses that remains after the last deadline. */
  private static final double LAST_RESPONSE_FRACTION = 0.15;

  /** Time that the next process needs to start. */
  private static final long RESTART_MILLIS = 1_000;

  private final long leaveFleetAtNanos;
  private final long noticeEndNanos;
  private final long drainEndNanos;
  private final long responsesEndNanos;
  private final long lastDeadlineNanos;
  private final long endNanos;

  /**
   * Creates the schedule of a stop that begins now.
   *
   * @param drainMillis time after which callers and other daemons know of the stop
   * @param stopTimeoutMillis maximum duration of the stop; at least {@code drainMillis}
   */
  GracefulStop(long nowNanos, long drainMillis, long stopTimeoutMillis) {
    Assert.isTrue(
        drainMillis >= 0 && stopTimeoutMillis >= drainMillis,
        "drainMillis must be between 0 and stopTimeoutMillis");
    long drainNanos = TimeUnit.MILLISECONDS.toNanos(drainMillis);
    long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(stopTimeoutMillis);
    endNanos = nowNanos + timeoutNanos;
    drainEndNanos = nowNanos + drainNanos;
    leaveFleetAtNanos = nowNanos + (long) (SERVING_FRACTION * drainNanos);
    noticeEndNanos = nowNanos + Math.min(drainNanos, (long) (NOTICE_FRACTION * timeoutNanos));
    long finalResponsesNanos =
        Math.min(FINAL_RESPONSES_NANOS, (long) (FINAL_RESPONSES_FRACTION * timeoutNanos));
    responsesEndNanos = endNanos - finalResponsesNanos;
    lastDeadlineNanos = endNanos - (long) (LAST_RESPONSE_FRACTION * finalResponsesNanos);
  }

  /**
   * Returns whether a request that arrives now is accepted.
   *
   * @param nestedInRunningRequest true if a request that runs at the local upstream makes the call
   */
  boolean accepts(long deadlineNanos, boolean nestedInRunningRequest, long nowNanos) {
    if (deadlineNanos - responsesEndNanos <= 0) {
      return true;
    }
    long acceptanceEndNanos = nestedInRunningRequest ? responsesEndNanos : noticeEndNanos;
    return nowNanos - acceptanceEndNanos < 0;
  }

  /** Returns the latest deadline at which a response can still be sent. */
  long lastDeadlineNanos() {
    return lastDeadlineNanos;
  }

  /** Returns the time until the next process can serve a refused request, in milliseconds. */
  long retryAfterMillis(long nowNanos) {
    return Math.max(0, TimeUnit.NANOSECONDS.toMillis(endNanos - nowNanos)) + RESTART_MILLIS;
  }

  /** Returns when the daemon asks other daemons to send their calls to other targets. */
  long leaveFleetAtNanos() {
    return leaveFleetAtNanos;
  }

  /** Returns when the daemon may stop to listen, unless its upstream still has calls in flight. */
  long drainEndNanos() {
    return drainEndNanos;
  }

  /** Returns when the daemon stops to wait for calls in flight before it closes its listeners. */
  long responsesEndNanos() {
    return responsesEndNanos;
  }

  /** Returns when all connections are closed, whatever is still in flight. */
  long endNanos() {
    return endNanos;
  }
}
