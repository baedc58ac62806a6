package org.cornelspoke.daemon.traffic;

import java.util.Optional;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.protocol.call.Headers;
import org.cornelspoke.transport.http.DefaultResponsePolicy;
import org.cornelspoke.transport.http.HttpResponse;
import org.cornelspoke.transport.http.ResponsePolicy;

/** The default HTTP interface for callers and upstreams, specified in docs/interface.md. */
public final class DefaultDialect implements HttpDialect {

  private final ResponsePolicy answerPolicy = new DefaultResponsePolicy();

  @Override
  public CallerHeaders read(Headers headers) {
    return CallerHeaders.of(headers);
  }

  @Override
  public boolean isReserved(Headers headers, int line) {
    return false;
  }

  @Override
  public void addOriginHeaders(Headers.Builder headers, Optional<AccountId> account) {
    // The signed call context already identifies the account.
  }

  @Override
  public void addAttemptHeaders(Headers.Builder headers, long remainingMillis, String instance) {
    headers.add("Cornelspoke-Deadline-Millis", Long.toString(remainingMillis));
  }

  @Override
  public HttpResponse toHttpResponse(DaemonResponse answer) {
    return HttpResponse.refusal(
        answer.reason().httpStatus(), answer.reason(), answer.verdict(), answer.retryAfterMillis());
  }

  @Override
  public ResponsePolicy answerPolicy() {
    return answerPolicy;
  }
}
