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
import org.cornelspoke.daemon.admin.ConfigRead.VersionedEntity;
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

/** The paths that read and change the configuration. */
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
                (request, body) -> new ConfigChange.CreateAccount(ConfigChanges.newAccount(body))))
        .with(
            PUT,
            "/v1/accounts/:id",
            change(
                OK,
                (request, body) ->
                    new ConfigChange.SetAccount(
                        ConfigChanges.account(request.pathId(AccountId::new), body))))
        .with(
            DELETE,
            "/v1/accounts/:id",
            removal(request -> new ConfigChange.DeleteAccount(request.pathId(AccountId::new))));
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
                        ConfigChanges.key(request.pathId(AccountId::new), body))))
        .with(
            DELETE,
            "/v1/keys/:id",
            removal(request -> new ConfigChange.WithdrawKey(request.pathId(KeyId::new))));
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
                        ConfigChanges.route(request.pathId(RouteId::new), body))))
        .with(
            DELETE,
            "/v1/routes/:id",
            removal(request -> new ConfigChange.DeleteRoute(request.pathId(RouteId::new))))
        .with(GET, "/v1/presets", list("presets", EntityKind.PRESET))
        .with(GET, "/v1/presets/:id", show(EntityKind.PRESET))
        .with(
            PUT,
            "/v1/presets/:id",
            change(
                OK,
                (request, body) ->
                    new ConfigChange.SetPreset(
                        ConfigChanges.preset(request.pathId(PresetName::new), body))))
        .with(GET, "/v1/preset-in-force", request -> showEntity(ActivePreset.ID))
        .with(
            PUT,
            "/v1/preset-in-force",
            change(
                OK,
                (request, body) -> new ConfigChange.UsePreset(body.id("name", PresetName::new))));
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
                        ConfigChanges.operator(request.pathId(OperatorId::new), body))))
        .with(
            DELETE,
            "/v1/operators/:id",
            removal(request -> new ConfigChange.DeleteOperator(request.pathId(OperatorId::new))));
  }

  private AsyncServlet list(String field, EntityKind kind) {
    return request ->
        backend.readConfig().map(read -> listOf(read, field, entity -> kindOf(entity) == kind));
  }

  private Promise<HttpResponse> keysOfAccount(ApiRequest request) throws ApiException {
    AccountId account = request.pathId(AccountId::new);
    return backend
        .readConfig()
        .map(
            read -> {
              EntityId id = new EntityId(EntityKind.ACCOUNT, account.value());
              find(read, id);
              return listOf(
                  read,
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
            read -> {
              ObjectNode node = JsonViews.entity(find(read, id));
              node.put("configRevision", read.revision().number());
              return Answers.json(OK, node);
            });
  }

  private Promise<HttpResponse> readAll() {
    return backend
        .readConfig()
        .map(
            read -> {
              ObjectNode node = head(read);
              addList(node, read, "accounts", EntityKind.ACCOUNT);
              addList(node, read, "keys", EntityKind.CLIENT_KEY);
              addList(node, read, "routes", EntityKind.ROUTE);
              addList(node, read, "presets", EntityKind.PRESET);
              addList(node, read, "presetInForce", EntityKind.ACTIVE_PRESET);
              addList(node, read, "contextSecrets", EntityKind.CONTEXT_SECRET);
              addList(node, read, "operators", EntityKind.OPERATOR);
              return Answers.json(OK, node);
            });
  }

  private AsyncServlet change(int acceptedStatus, ChangeParser parser) {
    return http -> {
      ApiRequest request = new ApiRequest(http);
      RequestId requestId = request.requestId();
      Optional<Revision> expected = request.expectedRevision();
      return request
          .body()
          .then(
              body -> {
                ConfigChange change = parse(parser, request, body);
                return submit(request.operator(), requestId, expected, change, acceptedStatus);
              });
    };
  }

  private AsyncServlet removal(RemovalParser parser) {
    return http -> {
      ApiRequest request = new ApiRequest(http);
      return submit(
          request.operator(),
          request.requestId(),
          request.expectedRevision(),
          parser.parse(request),
          OK);
    };
  }

  private static ConfigChange parse(ChangeParser parser, ApiRequest request, JsonBody body)
      throws ApiException {
    try {
      ConfigChange change = parser.parse(request, body);
      body.refuseUnknownFields();
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
        .map(result -> answer(requestId, expected, result, acceptedStatus));
  }

  private HttpResponse answer(
      RequestId requestId, Optional<Revision> expected, ChangeResult result, int acceptedStatus)
      throws ApiException {
    if (result instanceof ChangeResult.Accepted accepted) {
      metrics.counter("admin.changes.accepted").inc();
      ObjectNode node =
          JsonViews.object()
              .put("outcome", "accepted")
              .put("revision", accepted.revision().number())
              .put("requestId", requestId.value());
      return Answers.json(acceptedStatus, node);
    }
    if (result instanceof ChangeResult.Conflict conflict) {
      metrics.counter("admin.changes.conflict").inc();
      String based = expected.map(Revision::toString).orElse("an older revision");
      ApiException refusal =
          ApiException.conflict(
              "the change is based on revision "
                  + based
                  + ", but "
                  + conflict.current()
                  + " is current");
      refusal.body().put("current", conflict.current().number());
      conflict
          .conflictingChange()
          .ifPresent(entry -> refusal.body().set("winner", JsonViews.audit(entry)));
      throw refusal;
    }
    metrics.counter("admin.changes.rejected").inc();
    ChangeResult.Rejected rejected = (ChangeResult.Rejected) result;
    ApiException refusal = ApiException.rejected(rejected.rule());
    refusal.body().put("current", rejected.current().number());
    throw refusal;
  }

  private static VersionedEntity find(ConfigRead read, EntityId id) throws ApiException {
    for (VersionedEntity item : read.entities()) {
      if (item.entity().entityId().equals(id)) {
        return item;
      }
    }
    throw ApiException.notFound("there is no " + id);
  }

  private static HttpResponse listOf(
      ConfigRead read, String field, Predicate<VersionedEntity> filter) {
    ObjectNode node = head(read);
    node.set(field, JsonViews.array(select(read, filter), JsonViews::entity));
    return Answers.json(OK, node);
  }

  private static void addList(ObjectNode node, ConfigRead read, String field, EntityKind kind) {
    List<VersionedEntity> items = select(read, item -> kindOf(item) == kind);
    node.set(field, JsonViews.array(items, JsonViews::entity));
  }

  private static List<VersionedEntity> select(ConfigRead read, Predicate<VersionedEntity> filter) {
    return read.entities().stream().filter(filter).toList();
  }

  private static ObjectNode head(ConfigRead read) {
    return JsonViews.object()
        .put("configRevision", read.revision().number())
        .put("index", read.index());
  }

  private static EntityKind kindOf(VersionedEntity item) {
    return item.entity().entityId().kind();
  }

  private interface ChangeParser {
    ConfigChange parse(ApiRequest request, JsonBody body) throws ApiException;
  }

  private interface RemovalParser {
    ConfigChange parse(ApiRequest request) throws ApiException;
  }
}
