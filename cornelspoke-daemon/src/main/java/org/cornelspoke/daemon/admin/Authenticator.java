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
 * Passes requests with a valid operator token on and refuses all others before their body is read.
 */
final class Authenticator implements AsyncServlet {

  private static final String SCHEME = "bearer ";

  // These answers must be available while there is no quorum, so a token is checked against the
  // operators that this VM has applied. All other paths need a proof that the operator still
  // exists.
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
