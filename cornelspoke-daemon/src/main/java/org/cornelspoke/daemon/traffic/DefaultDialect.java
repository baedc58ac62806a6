package org.cornelspoke.daemon.traffic;

import java.util.Optional;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.protocol.call.Headers;
import org.cornelspoke.transport.http.DefaultResponsePolicy;
import org.cornelspoke.transport.http.HttpResponse;
import org.cornelspoke.transport.http.ResponsePolicy;

/** The product's own interface for callers and upstreams, as docs/interface.md describes it. */
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
  public void addOrigin(Headers.Builder headers, Optional<AccountId> account) {
    // The signed call context names the account.
  }

  @Override
  public void addAttempt(Headers.Builder headers, long leftMillis, String instance) {
    headers.add("Cornelspoke-Deadline-Millis", Long.toString(leftMillis));
  }

  @Override
  public HttpResponse ownAnswer(OwnAnswer answer) {
    return HttpResponse.refusal(
        answer.reason().httpStatus(), answer.reason(), answer.verdict(), answer.retryAfterMillis());
  }

  @Override
  public ResponsePolicy answerPolicy() {
    return answerPolicy;
  }
}
