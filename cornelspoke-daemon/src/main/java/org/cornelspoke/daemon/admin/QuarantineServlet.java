package org.cornelspoke.daemon.admin;

import static io.activej.http.HttpMethod.DELETE;
import static io.activej.http.HttpMethod.GET;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import java.util.Locale;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.state.quarantine.QuarantineEntry;

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
    return backend
        .quarantine()
        .map(
            entries -> {
              ObjectNode node = JsonConverter.object();
              node.set("requests", JsonConverter.array(entries, QuarantineServlet::toJson));
              return Answers.json(OK, node);
            });
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

  private static ObjectNode toJson(QuarantineEntry entry) {
    ObjectNode node =
        JsonConverter.object()
            .put("fingerprint", entry.fingerprint().value())
            .put("state", entry.state().name().toLowerCase(Locale.ROOT))
            .put("service", entry.service().value())
            .put("account", entry.request().account().value())
            .put("method", entry.request().method())
            .put("requestTarget", entry.request().requestTarget())
            .put("changedAtMillis", entry.changedAtMillis())
            .put("crashCount", entry.crashes().size());
    ArrayNode crashes = node.putArray("crashes");
    for (QuarantineEntry.Crash crash : entry.crashes()) {
      crashes
          .addObject()
          .put("process", crash.process())
          .put("daemon", crash.daemon().value())
          .put("atMillis", crash.atMillis());
    }
    entry.releasedBy().ifPresent(operator -> node.put("releasedBy", operator.value()));
    return node;
  }
}
