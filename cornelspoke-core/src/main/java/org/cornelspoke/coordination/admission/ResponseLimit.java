package org.cornelspoke.coordination.admission;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The rate limit that an upstream states in its responses. It ends when the response to a request
 * that was sent after the limit was last stated no longer contains it: responses to earlier
 * requests may have been written before the limit began.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds.
 */
final class ResponseLimit implements StatedRateSource {

  private OptionalDouble requestsPerSecond = OptionalDouble.empty();
  private long statedAtNanos;
  private boolean responseReceived;

  /** Returns the limit in force. */
  OptionalDouble requestsPerSecond() {
    return requestsPerSecond;
  }

  @Override
  public Optional<StatedRate> rate(long nowNanos) {
    return requestsPerSecond.isEmpty()
        ? Optional.empty()
        : Optional.of(StatedRate.spaced(requestsPerSecond.getAsDouble()));
  }

  /** Processes the limit, or its absence, in the response to a request. */
  void onResponse(OptionalDouble limit, long sentAtNanos, long nowNanos) {
    responseReceived = true;
    if (limit.isPresent()) {
      statedAtNanos = nowNanos;
      requestsPerSecond = limit;
    } else if (sentAtNanos - statedAtNanos > 0) {
      requestsPerSecond = limit;
    }
  }

  /**
   * Processes a limit that another daemon received earlier. It counts only until the first response
   * of the process, which is more recent; of several, the lowest counts.
   */
  void onEarlierNotice(OptionalDouble limit, long nowNanos) {
    boolean lower =
        limit.isPresent()
            && (requestsPerSecond.isEmpty()
                || limit.getAsDouble() < requestsPerSecond.getAsDouble());
    if (!responseReceived && lower) {
      requestsPerSecond = limit;
      statedAtNanos = nowNanos;
    }
  }
}
