package org.cornelspoke.daemon.traffic;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Logs one line for each request that the daemon answered itself, up to a rate limit, and counts
 * the omitted lines. Lines about requests that may not be repeated have a separate limit, so that a
 * flood of refusals does not suppress them.
 *
 * <p>Not thread-safe.
 */
final class DecisionLog {

  private static final System.Logger LOGGER = System.getLogger(DecisionLog.class.getName());

  /** A line costs about 50 µs, so that logging takes at most about 0.2% of a core. */
  private static final int LINES_PER_SECOND = 20;

  /** Lines per second about requests that may not be repeated. */
  private static final int UNREPEATABLE_LINES_PER_SECOND = 40;

  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Counter omittedTotal;
  private long windowStartNanos;
  private int lines;
  private int unrepeatableLines;
  private int omittedInWindow;

  DecisionLog(MetricRegistry metrics) {
    this.omittedTotal = metrics.counter("log.lines-omitted");
  }

  /**
   * Logs a line if the rate limit permits it.
   *
   * @param unrepeatable true if the request may not be repeated
   * @param line pairs {@code name=value}; evaluated only if the line is logged
   */
  void write(boolean unrepeatable, long nowNanos, Supplier<String> line) {
    startWindowIfDue(nowNanos);
    boolean allowed =
        unrepeatable
            ? unrepeatableLines++ < UNREPEATABLE_LINES_PER_SECOND
            : lines++ < LINES_PER_SECOND;
    if (allowed) {
      LOGGER.log(System.Logger.Level.INFO, line.get());
    } else {
      omittedInWindow++;
      omittedTotal.inc();
    }
  }

  private void startWindowIfDue(long nowNanos) {
    if (nowNanos - windowStartNanos < WINDOW_NANOS) {
      return;
    }
    if (omittedInWindow > 0) {
      LOGGER.log(System.Logger.Level.INFO, "event=lines-omitted count=" + omittedInWindow);
    }
    windowStartNanos = nowNanos;
    lines = 0;
    unrepeatableLines = 0;
    omittedInWindow = 0;
  }
}
