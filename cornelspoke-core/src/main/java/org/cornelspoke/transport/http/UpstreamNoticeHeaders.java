package org.cornelspoke.transport.http;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.regex.Pattern;
import org.cornelspoke.coordination.admission.UpstreamNotice;
import org.cornelspoke.protocol.call.Headers;

/** Parses the response headers in which an upstream states its rate limit and its departure. */
public final class UpstreamNoticeHeaders {

  private static final Pattern RATE = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");
  private static final String LEAVING = "1";

  private final String limitName;
  private final String leavingName;

  /**
   * Creates a parser.
   *
   * @param limitName lower-case name of the header with the accepted requests per second, a decimal
   *     number
   * @param leavingName lower-case name of the header that is 1 if the upstream is about to stop
   */
  public UpstreamNoticeHeaders(String limitName, String leavingName) {
    this.limitName = limitName;
    this.leavingName = leavingName;
  }

  /** Returns the notice, or empty if the response states nothing but a malformed rate limit. */
  public Optional<UpstreamNotice> parse(Headers response) {
    String limit = response.get(limitName);
    boolean leaving = LEAVING.equals(response.get(leavingName));
    boolean malformed = limit != null && !RATE.matcher(limit).matches();
    if (malformed && !leaving) {
      return Optional.empty();
    }
    OptionalDouble requestsPerSecond =
        limit == null || malformed
            ? OptionalDouble.empty()
            : OptionalDouble.of(Double.parseDouble(limit));
    return Optional.of(
        requestsPerSecond.isEmpty() && !leaving
            ? UpstreamNotice.NONE
            : new UpstreamNotice(requestsPerSecond, leaving));
  }
}
