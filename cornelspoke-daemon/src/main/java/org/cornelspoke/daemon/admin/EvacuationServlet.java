package org.cornelspoke.daemon.admin;

import static io.activej.http.HttpMethod.DELETE;
import static io.activej.http.HttpMethod.GET;
import static io.activej.http.HttpMethod.PUT;

import io.activej.csp.supplier.ChannelSupplier;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import java.util.function.Function;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.state.config.ConfigChange;
import org.cornelspoke.state.config.EntityKind;

/** Registers the API paths that list, order and revoke evacuations of data centres. */
final class EvacuationServlet {

  private final AdminBackend backend;
  private final ConfigServlet config;

  EvacuationServlet(AdminBackend backend, ConfigServlet config) {
    this.backend = backend;
    this.config = config;
  }

  void addTo(RoutingServlet.Builder routes) {
    routes
        .with(GET, "/v1/evacuations", config.list("evacuations", EntityKind.DATA_CENTRE_EVACUATION))
        .with(PUT, "/v1/evacuations/:id", order(ConfigChange.EvacuateDataCentre::new))
        .with(DELETE, "/v1/evacuations/:id", order(ConfigChange.RestoreDataCentre::new));
  }

  private AsyncServlet order(Function<DataCentreId, ConfigChange> change) {
    return http -> {
      ApiRequest request = new ApiRequest(http);
      DataCentreId dataCentre = request.pathId(DataCentreId::new);
      // Parsed first, so that an incomplete request is refused before anything is looked up.
      request.requestId();
      request.expectedRevision();
      return ChannelSupplier.collect(
              http.takeBodyStream(), new BoundedBody(), BoundedBody::append, BoundedBody::bytes)
          .then(body -> submit(request, dataCentre, change.apply(dataCentre), body.length));
    };
  }

  private Promise<HttpResponse> submit(
      ApiRequest request, DataCentreId dataCentre, ConfigChange change, int bodyBytes)
      throws ApiException {
    if (bodyBytes > 0) {
      throw ApiException.badRequest("an order about a data centre has no body");
    }
    return backend
        .isKnownDataCentre(dataCentre)
        .then(
            known -> {
              if (!known) {
                throw ApiException.notFound("there is no data centre " + dataCentre);
              }
              return config.submit(request, change);
            });
  }
}
