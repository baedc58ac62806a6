package org.cornelspoke.daemon.traffic;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Logs one line for each request that the daemon answered itself or that ended after its deadline,
 * up to a rate limit, and counts the omitted lines. Each subject has a limit of its own, so that a
 * flood of refusals does not suppress the other lines.
 *
 * <p>Not thread-safe.
 */
final class DecisionLog {

  private static final System.Logger LOGGER = System.getLogger(DecisionLog.class.getName());

  /** Kinds of lines. A line costs about 50 µs, so that all of them take at most 0.4% of a core. */
  enum Subject {
    REPEATABLE_REQUEST(20),
    UNREPEATABLE_REQUEST(40),
    LATE_REQUEST(20);

    private final int linesPerSecond;

    Subject(int linesPerSecond) {
      this.linesPerSecond = linesPerSecond;
    }
  }

  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Counter omittedTotal;
  private long windowStartNanos;
  private final Map<Subject, Integer> lines = new EnumMap<>(Subject.class);
  private int omittedInWindow;

  DecisionLog(MetricRegistry metrics) {
    this.omittedTotal = metrics.counter("log.lines-omitted");
  }

  /**
   * Logs a line if the rate limit permits it.
   *
   * @param line pairs {@code name=value}; evaluated only if the line is logged
   */
  void write(Subject subject, long nowNanos, Supplier<String> line) {
    startWindowIfDue(nowNanos);
    boolean allowed = lines.merge(subject, 1, Integer::sum) <= subject.linesPerSecond;
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
    lines.clear();
    omittedInWindow = 0;
  }
}
