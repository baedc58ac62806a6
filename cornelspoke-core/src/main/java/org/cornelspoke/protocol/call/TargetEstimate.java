package org.cornelspoke.protocol.call;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cornelspoke.util.Assert;

/**
 * What the daemon beside an upstream has learned about it. Callers use it to choose targets and
 * return it to a daemon that has restarted beside the same process.
 *
 * @param process identifies the upstream process; an estimate ends with its process
 * @param concurrency requests that the upstream serves at the same time without slowing down
 * @param workMicros mean time for which the upstream works on a request of the kind of the call
 */
public record TargetEstimate(String process, int concurrency, long workMicros) {

  /** Upper bound of an accepted concurrency; a peer could otherwise attract all requests. */
  public static final int MAX_CONCURRENCY = 100_000;

  /** Upper bound of an accepted work time, ten minutes. */
  public static final long MAX_WORK_MICROS = 600_000_000L;

  private static final Pattern TEXT = Pattern.compile("([!-~]{1,80}) ([0-9]{1,6}) ([0-9]{1,9})");

  /** Checks that the components are in range. */
  public TargetEstimate {
    Assert.hasText(process, "process");
    Assert.isTrue(
        concurrency >= 1 && concurrency <= MAX_CONCURRENCY,
        "concurrency must be between 1 and " + MAX_CONCURRENCY);
    Assert.isTrue(
        workMicros >= 0 && workMicros <= MAX_WORK_MICROS,
        "workMicros must be between 0 and " + MAX_WORK_MICROS);
  }

  /**
   * Parses the text form.
   *
   * @throws ProtocolException if the text is malformed or a number is out of range
   */
  static TargetEstimate parse(String text) throws ProtocolException {
    Matcher matcher = TEXT.matcher(text);
    if (!matcher.matches()) {
      throw new ProtocolException("malformed target estimate");
    }
    try {
      return new TargetEstimate(
          matcher.group(1), Integer.parseInt(matcher.group(2)), Long.parseLong(matcher.group(3)));
    } catch (IllegalArgumentException e) {
      throw new ProtocolException("target estimate out of range", e);
    }
  }

  /** Returns the text form: process, concurrency and work time in microseconds. */
  String format() {
    return process + ' ' + concurrency + ' ' + workMicros;
  }
}
