package org.cornelspoke.transport.http;

import java.util.Optional;
import org.cornelspoke.coordination.admission.UpstreamNotice;
import org.cornelspoke.protocol.call.Headers;

/**
 * Default policy: 503 with {@code Cornelspoke-Shed: 1} means that the upstream shed the request.
 */
public final class DefaultResponsePolicy implements ResponsePolicy {

  private static final int SHED_STATUS = 503;
  private static final String SHED_HEADER = "cornelspoke-shed";
  private static final String SHED_VALUE = "1";
  private static final UpstreamNoticeHeaders NOTICE_HEADERS =
      new UpstreamNoticeHeaders(
          "cornelspoke-rate-limit", "cornelspoke-leaving", "cornelspoke-cold-remaining-millis");

  @Override
  public Kind classify(Headers request, int status, Headers response) {
    boolean shed = status == SHED_STATUS && SHED_VALUE.equals(response.get(SHED_HEADER));
    return shed ? Kind.NOT_EXECUTED : Kind.RESPONSE;
  }

  @Override
  public Optional<UpstreamNotice> notice(Headers request, int status, Headers response) {
    return NOTICE_HEADERS.parse(response);
  }

  @Override
  public Optional<String> requestId(Headers message) {
    return Optional.empty();
  }

  @Override
  public boolean allowsCloseDelimitedBody() {
    // A truncated response would look complete.
    return false;
  }
}
