package org.cornelspoke.daemon.admin;

import static io.activej.http.HttpMethod.DELETE;
import static io.activej.http.HttpMethod.GET;

import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import org.cornelspoke.model.RequestFingerprint;

/** Registers the API paths that list and release requests that crash upstreams. */
final class QuarantineServlet {

  private static final int OK = 200;

  private final AdminBackend backend;

  QuarantineServlet(AdminBackend backend) {
    this.backend = backend;
  }

  void addTo(RoutingServlet.Builder routes) {
    routes
        .with(GET, "/v1/quarantine", request -> list())
        .with(DELETE, "/v1/quarantine/:id", request -> release(new ApiRequest(request)));
  }

  private Promise<HttpResponse> list() {
    return backend.quarantine().map(entries -> Answers.json(OK, QuarantineListing.toJson(entries)));
  }

  private Promise<HttpResponse> release(ApiRequest request) throws ApiException {
    RequestFingerprint fingerprint = request.pathId(RequestFingerprint::new);
    return backend
        .release(fingerprint, request.operator())
        .map(
            known -> {
              if (!known) {
                throw ApiException.notFound("there is no request " + fingerprint);
              }
              return Answers.json(
                  OK,
                  JsonConverter.object()
                      .put("outcome", "accepted")
                      .put("fingerprint", fingerprint.value()));
            });
  }
}
