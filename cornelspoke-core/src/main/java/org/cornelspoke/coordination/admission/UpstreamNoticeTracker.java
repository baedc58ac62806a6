package org.cornelspoke.coordination.admission;

import java.util.OptionalDouble;

/**
 * Tracks what one upstream process states about itself. A rate limit ends when the response to a
 * request that was sent after the limit was last stated no longer contains it: responses to earlier
 * requests may have been written before the limit began. A process that is leaving does not return.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds.
 */
public final class UpstreamNoticeTracker {

  private UpstreamNotice current = UpstreamNotice.NONE;
  private long limitStatedAtNanos;
  private boolean responseReceived;

  /** Returns the notice in force. */
  public UpstreamNotice current() {
    return current;
  }

  /**
   * Processes the notice of a response.
   *
   * @param sentAtNanos time at which the request was sent to the process
   * @return true if the notice in force has changed
   */
  public boolean onResponse(UpstreamNotice notice, long sentAtNanos, long nowNanos) {
    responseReceived = true;
    OptionalDouble limit = notice.requestsPerSecond();
    if (limit.isPresent()) {
      limitStatedAtNanos = nowNanos;
    } else if (current.requestsPerSecond().isPresent() && sentAtNanos - limitStatedAtNanos <= 0) {
      limit = current.requestsPerSecond();
    }
    return replace(new UpstreamNotice(limit, current.leaving() || notice.leaving()));
  }

  /**
   * Processes a notice that another daemon received from the process earlier. A limit counts only
   * until the first response of the process, which is more recent; of several, the lowest counts.
   *
   * @return true if the notice in force has changed
   */
  public boolean onEarlierNotice(UpstreamNotice notice, long nowNanos) {
    OptionalDouble limit = current.requestsPerSecond();
    OptionalDouble earlier = notice.requestsPerSecond();
    if (!responseReceived
        && earlier.isPresent()
        && (limit.isEmpty() || earlier.getAsDouble() < limit.getAsDouble())) {
      limit = earlier;
      limitStatedAtNanos = nowNanos;
    }
    return replace(new UpstreamNotice(limit, current.leaving() || notice.leaving()));
  }

  private boolean replace(UpstreamNotice notice) {
    boolean changed = !notice.equals(current);
    current = notice;
    return changed;
  }
}
