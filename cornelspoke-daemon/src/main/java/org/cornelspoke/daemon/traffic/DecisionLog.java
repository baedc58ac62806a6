package org.cornelspoke.daemon.traffic;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Writes one line for each decision about a request that did not simply succeed, within a bound per
 * second, and counts what it leaves out. Lines about requests that may not be repeated have a bound
 * of their own, so that a flood of refusals does not hide them.
 *
 * <p>Not safe for use by several threads.
 */
final class DecisionLog {

  private static final System.Logger LOGGER = System.getLogger(DecisionLog.class.getName());

  /** A line costs some 50 µs, so that logging takes about 0.2% of a core at most. */
  private static final int LINES_PER_SECOND = 20;

  /** Lines per second about requests that may not be repeated. */
  private static final int URGENT_LINES_PER_SECOND = 40;

  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Counter omittedTotal;
  private long windowStartNanos;
  private int lines;
  private int urgentLines;
  private int omitted;

  DecisionLog(MetricRegistry metrics) {
    this.omittedTotal = metrics.counter("log.lines-omitted");
  }

  /**
   * Writes a line if the bound allows it.
   *
   * @param urgent true if the request may not be repeated
   * @param line pairs {@code name=value}; asked for only if the line is written
   */
  void write(boolean urgent, long nowNanos, Supplier<String> line) {
    roll(nowNanos);
    boolean allowed = urgent ? urgentLines++ < URGENT_LINES_PER_SECOND : lines++ < LINES_PER_SECOND;
    if (allowed) {
      LOGGER.log(System.Logger.Level.INFO, line.get());
    } else {
      omitted++;
      omittedTotal.inc();
    }
  }

  private void roll(long nowNanos) {
    if (nowNanos - windowStartNanos < WINDOW_NANOS) {
      return;
    }
    if (omitted > 0) {
      LOGGER.log(System.Logger.Level.INFO, "event=lines-omitted count=" + omitted);
    }
    windowStartNanos = nowNanos;
    lines = 0;
    urgentLines = 0;
    omitted = 0;
  }
}
