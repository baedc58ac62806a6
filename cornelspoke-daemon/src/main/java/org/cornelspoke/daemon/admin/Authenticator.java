package org.cornelspoke.daemon.admin;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.cornelspoke.model.OperatorId;

/**
 * Forwards requests with a valid operator token to the API and refuses all others before reading
 * their body.
 */
final class Authenticator implements AsyncServlet {

  private static final String SCHEME = "bearer ";

  // These paths must work without a quorum, so the token is checked against the locally applied
  // operators. All other requests check it with a linearizable read, so that a deleted operator is
  // refused.
  private static final Set<String> READABLE_WITHOUT_QUORUM =
      Set.of("/v1/status", "/v1/members", "/v1/daemons", "/v1/targets");

  private final AdminBackend backend;
  private final AsyncServlet next;
  private final Counter unauthorized;

  Authenticator(AdminBackend backend, AsyncServlet next, MetricRegistry metrics) {
    this.backend = backend;
    this.next = next;
    this.unauthorized = metrics.counter("admin.unauthorized");
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request) {
    return authenticate(request)
        .then(
            operator -> {
              if (operator.isEmpty()) {
                unauthorized.inc();
                return Promise.ofException(ApiException.unauthorized());
              }
              request.attach(OperatorId.class, operator.get());
              return next.serve(request);
            })
        .map((response, failure) -> failure == null ? response : Answers.ofException(failure));
  }

  private Promise<Optional<OperatorId>> authenticate(HttpRequest request) {
    String header = request.getHeader(HttpHeaders.AUTHORIZATION);
    if (header == null || !header.toLowerCase(Locale.ROOT).startsWith(SCHEME)) {
      return Promise.of(Optional.empty());
    }
    String token = header.substring(SCHEME.length()).strip();
    if (token.isEmpty()) {
      return Promise.of(Optional.empty());
    }
    boolean withoutQuorum =
        request.getMethod() == HttpMethod.GET
            && READABLE_WITHOUT_QUORUM.contains(request.getPath());
    return backend.findOperator(
        OperatorTokens.hashHex(token), withoutQuorum ? ReadMode.APPLIED : ReadMode.CURRENT);
  }
}
