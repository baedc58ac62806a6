package org.cornelspoke.transport.http;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import org.cornelspoke.coordination.admission.UpstreamNotice;
import org.cornelspoke.protocol.call.Headers;

/**
 * Parses the response headers in which an upstream states its rate limit, its departure and that it
 * is cold.
 */
public final class UpstreamNoticeHeaders {

  private static final Pattern RATE = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");
  private static final Pattern MILLIS = Pattern.compile("[0-9]{1,12}");
  private static final String LEAVING = "1";

  private final String limitName;
  private final String leavingName;
  private final String coldRemainingName;

  /**
   * Creates a parser.
   *
   * @param limitName lower-case name of the header with the accepted requests per second, a decimal
   *     number
   * @param leavingName lower-case name of the header that is 1 if the upstream is about to stop
   * @param coldRemainingName lower-case name of the header with the milliseconds for which the
   *     upstream stays cold, a whole number
   */
  public UpstreamNoticeHeaders(String limitName, String leavingName, String coldRemainingName) {
    this.limitName = limitName;
    this.leavingName = leavingName;
    this.coldRemainingName = coldRemainingName;
  }

  /** Returns the notice, or empty if the response states nothing but a malformed rate limit. */
  public Optional<UpstreamNotice> parse(Headers response) {
    String limit = response.get(limitName);
    boolean leaving = LEAVING.equals(response.get(leavingName));
    boolean malformed = limit != null && !RATE.matcher(limit).matches();
    OptionalLong coldRemainingMillis = coldRemainingMillis(response);
    if (malformed && !leaving && coldRemainingMillis.isEmpty()) {
      return Optional.empty();
    }
    OptionalDouble requestsPerSecond =
        limit == null || malformed
            ? OptionalDouble.empty()
            : OptionalDouble.of(Double.parseDouble(limit));
    return Optional.of(
        requestsPerSecond.isEmpty() && !leaving && coldRemainingMillis.isEmpty()
            ? UpstreamNotice.NONE
            : new UpstreamNotice(requestsPerSecond, leaving, coldRemainingMillis));
  }

  private OptionalLong coldRemainingMillis(Headers response) {
    String millis = response.get(coldRemainingName);
    return millis != null && MILLIS.matcher(millis).matches()
        ? OptionalLong.of(Long.parseLong(millis))
        : OptionalLong.empty();
  }
}
