package org.cornelspoke.protocol.call;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cornelspoke.coordination.admission.UpstreamNotice;
import org.cornelspoke.util.Assert;

/**
 * The notice of an upstream process, exchanged between the daemons that call it and the daemon
 * beside it. A daemon that restarts beside a running process learns the notice from its callers.
 *
 * @param process identifies the process; another process of the same target has another value
 */
public record TargetNotice(String process, UpstreamNotice notice) {

  private static final String NO_LIMIT = "-";

  /** Decimal places of a limit in the text form. */
  private static final int LIMIT_DECIMALS = 6;

  private static final Pattern MILLIS = Pattern.compile("[0-9]{1,12}");
  private static final Pattern TEXT =
      Pattern.compile("([!-~]+) (-|[0-9]{1,9}(?:\\.[0-9]{1,9})?) (0|1)");

  /** Checks the process name. */
  public TargetNotice {
    Assert.hasText(process, "process");
    Assert.notNull(notice, "notice");
  }

  /**
   * Parses the text form.
   *
   * @throws ProtocolException if the text is malformed
   */
  static TargetNotice parse(String text) throws ProtocolException {
    Matcher matcher = TEXT.matcher(text);
    if (!matcher.matches()) {
      throw new ProtocolException("malformed upstream notice");
    }
    OptionalDouble limit =
        matcher.group(2).equals(NO_LIMIT)
            ? OptionalDouble.empty()
            : OptionalDouble.of(Double.parseDouble(matcher.group(2)));
    return new TargetNotice(
        matcher.group(1), new UpstreamNotice(limit, matcher.group(3).equals("1")));
  }

  /**
   * Returns a copy with the remaining cold time in its text form, which is separate because earlier
   * builds reject a further field in {@link #format}.
   *
   * @throws ProtocolException if the text is malformed
   */
  TargetNotice withColdRemaining(String text) throws ProtocolException {
    if (!MILLIS.matcher(text).matches()) {
      throw new ProtocolException("malformed remaining cold time");
    }
    return withColdRemaining(OptionalLong.of(Long.parseLong(text)));
  }

  /**
   * Returns the notice as it is after some time, or empty if it then states nothing.
   *
   * @param elapsedMillis time since the notice was received
   */
  public Optional<TargetNotice> after(long elapsedMillis) {
    OptionalLong remainingMillis = notice.coldRemainingMillis();
    if (remainingMillis.isEmpty()) {
      return Optional.of(this);
    }
    long leftMillis = remainingMillis.getAsLong() - elapsedMillis;
    TargetNotice later =
        withColdRemaining(leftMillis > 0 ? OptionalLong.of(leftMillis) : OptionalLong.empty());
    return later.notice.equals(UpstreamNotice.NONE) ? Optional.empty() : Optional.of(later);
  }

  private TargetNotice withColdRemaining(OptionalLong millis) {
    return new TargetNotice(
        process, new UpstreamNotice(notice.requestsPerSecond(), notice.leaving(), millis));
  }

  /**
   * Returns the text form without the remaining cold time: process, requests per second, and 1 if
   * the process is leaving.
   */
  String format() {
    String limit =
        notice.requestsPerSecond().isPresent()
            ? BigDecimal.valueOf(notice.requestsPerSecond().getAsDouble())
                .setScale(LIMIT_DECIMALS, RoundingMode.HALF_UP)
                .toPlainString()
            : NO_LIMIT;
    return process + ' ' + limit + ' ' + (notice.leaving() ? '1' : '0');
  }
}
