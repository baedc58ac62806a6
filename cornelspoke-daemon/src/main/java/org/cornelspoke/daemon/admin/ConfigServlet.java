package org.cornelspoke.daemon.admin;

import static io.activej.http.HttpMethod.DELETE;
import static io.activej.http.HttpMethod.GET;
import static io.activej.http.HttpMethod.POST;
import static io.activej.http.HttpMethod.PUT;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.cornelspoke.daemon.admin.ConfigListing.VersionedEntity;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.KeyId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.RouteId;
import org.cornelspoke.state.config.ActivePreset;
import org.cornelspoke.state.config.ChangeRequest;
import org.cornelspoke.state.config.ChangeResult;
import org.cornelspoke.state.config.ClientKey;
import org.cornelspoke.state.config.ConfigChange;
import org.cornelspoke.state.config.EntityId;
import org.cornelspoke.state.config.EntityKind;

/** Registers the API paths that read and change the configuration. */
final class ConfigServlet {

  private static final int OK = 200;
  private static final int CREATED = 201;

  private final AdminBackend backend;
  private final Clock clock;
  private final MetricRegistry metrics;

  ConfigServlet(AdminBackend backend, Clock clock, MetricRegistry metrics) {
    this.backend = backend;
    this.clock = clock;
    this.metrics = metrics;
  }

  void addTo(RoutingServlet.Builder routes) {
    addAccounts(routes);
    addKeys(routes);
    addRoutesAndPresets(routes);
    addOperators(routes);
    routes.with(GET, "/v1/config", request -> readAll());
  }

  private void addAccounts(RoutingServlet.Builder routes) {
    routes
        .with(GET, "/v1/accounts", list("accounts", EntityKind.ACCOUNT))
        .with(GET, "/v1/accounts/:id", show(EntityKind.ACCOUNT))
        .with(
            POST,
            "/v1/accounts",
            change(
                CREATED,
                (request, body) ->
                    new ConfigChange.CreateAccount(ConfigEntityParser.newAccount(body))))
        .with(
            PUT,
            "/v1/accounts/:id",
            change(
                OK,
                (request, body) ->
                    new ConfigChange.SetAccount(
                        ConfigEntityParser.account(request.pathId(AccountId::new), body))))
        .with(
            DELETE,
            "/v1/accounts/:id",
            delete(request -> new ConfigChange.DeleteAccount(request.pathId(AccountId::new))));
  }

  private void addKeys(RoutingServlet.Builder routes) {
    routes
        .with(GET, "/v1/keys", list("keys", EntityKind.CLIENT_KEY))
        .with(GET, "/v1/keys/:id", show(EntityKind.CLIENT_KEY))
        .with(GET, "/v1/accounts/:id/keys", request -> keysOfAccount(new ApiRequest(request)))
        .with(
            POST,
            "/v1/accounts/:id/keys",
            change(
                CREATED,
                (request, body) ->
                    new ConfigChange.GiveKey(
                        ConfigEntityParser.key(request.pathId(AccountId::new), body))))
        .with(
            DELETE,
            "/v1/keys/:id",
            delete(request -> new ConfigChange.WithdrawKey(request.pathId(KeyId::new))));
  }

  private void addRoutesAndPresets(RoutingServlet.Builder routes) {
    routes
        .with(GET, "/v1/routes", list("routes", EntityKind.ROUTE))
        .with(GET, "/v1/routes/:id", show(EntityKind.ROUTE))
        .with(
            PUT,
            "/v1/routes/:id",
            change(
                OK,
                (request, body) ->
                    new ConfigChange.SetRoute(
                        ConfigEntityParser.route(request.pathId(RouteId::new), body))))
        .with(
            DELETE,
            "/v1/routes/:id",
            delete(request -> new ConfigChange.DeleteRoute(request.pathId(RouteId::new))))
        .with(GET, "/v1/presets", list("presets", EntityKind.PRESET))
        .with(GET, "/v1/presets/:id", show(EntityKind.PRESET))
        .with(
            PUT,
            "/v1/presets/:id",
            change(
                OK,
                (request, body) ->
                    new ConfigChange.SetPreset(
                        ConfigEntityParser.preset(request.pathId(PresetName::new), body))))
        .with(GET, "/v1/preset-in-force", request -> showEntity(ActivePreset.ID))
        .with(
            PUT,
            "/v1/preset-in-force",
            change(
                OK,
                (request, body) ->
                    new ConfigChange.UsePreset(body.textAs("name", PresetName::new))));
  }

  private void addOperators(RoutingServlet.Builder routes) {
    routes
        .with(GET, "/v1/operators", list("operators", EntityKind.OPERATOR))
        .with(
            PUT,
            "/v1/operators/:id",
            change(
                OK,
                (request, body) ->
                    new ConfigChange.SetOperator(
                        ConfigEntityParser.operator(request.pathId(OperatorId::new), body))))
        .with(
            DELETE,
            "/v1/operators/:id",
            delete(request -> new ConfigChange.DeleteOperator(request.pathId(OperatorId::new))));
  }

  AsyncServlet list(String field, EntityKind kind) {
    return request ->
        backend
            .readConfig()
            .map(listing -> listOf(listing, field, entity -> kindOf(entity) == kind));
  }

  private Promise<HttpResponse> keysOfAccount(ApiRequest request) throws ApiException {
    AccountId account = request.pathId(AccountId::new);
    return backend
        .readConfig()
        .map(
            listing -> {
              EntityId id = new EntityId(EntityKind.ACCOUNT, account.value());
              find(listing, id);
              return listOf(
                  listing,
                  "keys",
                  item -> item.entity() instanceof ClientKey key && key.account().equals(account));
            });
  }

  private AsyncServlet show(EntityKind kind) {
    return request ->
        showEntity(new EntityId(kind, new ApiRequest(request).pathId(String::toString)));
  }

  private Promise<HttpResponse> showEntity(EntityId id) {
    return backend
        .readConfig()
        .map(
            listing -> {
              ObjectNode node = JsonConverter.entity(find(listing, id));
              node.put("configRevision", listing.revision().number());
              return Answers.json(OK, node);
            });
  }

  private Promise<HttpResponse> readAll() {
    return backend
        .readConfig()
        .map(
            listing -> {
              ObjectNode node = listHeader(listing);
              addList(node, listing, "accounts", EntityKind.ACCOUNT);
              addList(node, listing, "keys", EntityKind.CLIENT_KEY);
              addList(node, listing, "routes", EntityKind.ROUTE);
              addList(node, listing, "presets", EntityKind.PRESET);
              addList(node, listing, "presetInForce", EntityKind.ACTIVE_PRESET);
              addList(node, listing, "contextSecrets", EntityKind.CONTEXT_SECRET);
              addList(node, listing, "operators", EntityKind.OPERATOR);
              addList(node, listing, "evacuations", EntityKind.DATA_CENTRE_EVACUATION);
              return Answers.json(OK, node);
            });
  }

  private AsyncServlet change(int acceptedStatus, ChangeParser parser) {
    return http -> {
      ApiRequest request = new ApiRequest(http);
      RequestId requestId = request.requestId();
      Optional<Revision> expected = request.expectedRevision();
      return request
          .readBody()
          .then(
              body -> {
                ConfigChange change = parse(parser, request, body);
                return submit(request.operator(), requestId, expected, change, acceptedStatus);
              });
    };
  }

  private AsyncServlet delete(DeletionParser parser) {
    return http -> {
      ApiRequest request = new ApiRequest(http);
      return submit(request, parser.parse(request));
    };
  }

  /** Submits a change that an operator has requested without a body. */
  Promise<HttpResponse> submit(ApiRequest request, ConfigChange change) throws ApiException {
    return submit(request.operator(), request.requestId(), request.expectedRevision(), change, OK);
  }

  private static ConfigChange parse(ChangeParser parser, ApiRequest request, JsonBody body)
      throws ApiException {
    try {
      ConfigChange change = parser.parse(request, body);
      body.rejectUnknownFields();
      return change;
    } catch (IllegalArgumentException e) {
      throw ApiException.badRequest(e.getMessage());
    }
  }

  private Promise<HttpResponse> submit(
      OperatorId operator,
      RequestId requestId,
      Optional<Revision> expected,
      ConfigChange change,
      int acceptedStatus) {
    ChangeRequest request =
        new ChangeRequest(requestId, operator, expected, clock.millis(), change);
    return backend
        .submit(request)
        .map(result -> toResponse(requestId, expected, result, acceptedStatus));
  }

  private HttpResponse toResponse(
      RequestId requestId, Optional<Revision> expected, ChangeResult result, int acceptedStatus)
      throws ApiException {
    if (result instanceof ChangeResult.Accepted accepted) {
      metrics.counter("admin.changes.accepted").inc();
      ObjectNode node =
          JsonConverter.object()
              .put("outcome", "accepted")
              .put("revision", accepted.revision().number())
              .put("requestId", requestId.value());
      return Answers.json(acceptedStatus, node);
    }
    if (result instanceof ChangeResult.Conflict conflict) {
      metrics.counter("admin.changes.conflict").inc();
      String baseRevision = expected.map(Revision::toString).orElse("an older revision");
      ApiException refusal =
          ApiException.conflict(
              "the change is based on revision "
                  + baseRevision
                  + ", but "
                  + conflict.current()
                  + " is current");
      refusal.body().put("current", conflict.current().number());
      conflict
          .conflictingChange()
          .ifPresent(entry -> refusal.body().set("winner", JsonConverter.auditEntry(entry)));
      throw refusal;
    }
    metrics.counter("admin.changes.rejected").inc();
    ChangeResult.Rejected rejected = (ChangeResult.Rejected) result;
    ApiException refusal = ApiException.rejected(rejected.rule());
    refusal.body().put("current", rejected.current().number());
    throw refusal;
  }

  private static VersionedEntity find(ConfigListing listing, EntityId id) throws ApiException {
    for (VersionedEntity item : listing.entities()) {
      if (item.entity().entityId().equals(id)) {
        return item;
      }
    }
    throw ApiException.notFound("there is no " + id);
  }

  private static HttpResponse listOf(
      ConfigListing listing, String field, Predicate<VersionedEntity> filter) {
    ObjectNode node = listHeader(listing);
    node.set(field, JsonConverter.array(select(listing, filter), JsonConverter::entity));
    return Answers.json(OK, node);
  }

  private static void addList(
      ObjectNode node, ConfigListing listing, String field, EntityKind kind) {
    List<VersionedEntity> items = select(listing, item -> kindOf(item) == kind);
    node.set(field, JsonConverter.array(items, JsonConverter::entity));
  }

  private static List<VersionedEntity> select(
      ConfigListing listing, Predicate<VersionedEntity> filter) {
    return listing.entities().stream().filter(filter).toList();
  }

  private static ObjectNode listHeader(ConfigListing listing) {
    return JsonConverter.object()
        .put("configRevision", listing.revision().number())
        .put("index", listing.index());
  }

  private static EntityKind kindOf(VersionedEntity item) {
    return item.entity().entityId().kind();
  }

  private interface ChangeParser {
    ConfigChange parse(ApiRequest request, JsonBody body) throws ApiException;
  }

  private interface DeletionParser {
    ConfigChange parse(ApiRequest request) throws ApiException;
  }
}
