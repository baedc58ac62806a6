package org.cornelspoke.daemon.admin;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayInputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.VmId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class AdminServerTest {

  private static final String ACCOUNT =
      "{\"id\":\"a1\",\"rateTokensPerSecond\":10,\"burstTokens\":20,\"weight\":2}";
  private static final String HASH = "ab".repeat(32);

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private AdminServerFixture server;

  @BeforeEach
  void start() throws Exception {
    server = new AdminServerFixture();
  }

  @AfterEach
  void stop() throws Exception {
    server.close();
  }

  /** Guards against a path that can be read or changed without a valid token. */
  @ParameterizedTest
  @CsvSource({
    "GET, accounts",
    "POST, accounts",
    "GET, accounts/a1",
    "PUT, accounts/a1",
    "DELETE, accounts/a1",
    "GET, accounts/a1/keys",
    "POST, accounts/a1/keys",
    "GET, keys",
    "GET, keys/k1",
    "DELETE, keys/k1",
    "GET, routes",
    "PUT, routes/r1",
    "DELETE, routes/r1",
    "GET, presets",
    "PUT, presets/p1",
    "GET, preset-in-force",
    "PUT, preset-in-force",
    "GET, targets",
    "GET, daemons",
    "GET, members",
    "POST, members",
    "POST, members/m1/promote",
    "DELETE, members/m1",
    "GET, operators",
    "PUT, operators/o1",
    "DELETE, operators/o1",
    "GET, audit",
    "GET, config",
    "GET, evacuations",
    "PUT, evacuations/here",
    "DELETE, evacuations/here",
    "GET, routes/r1",
    "GET, presets/p1",
    "GET, status",
    "GET, no-such-path"
  })
  void refusesWithoutValidToken(String method, String path) throws Exception {
    long before = revision();
    for (String header :
        List.of("", "Bearer ", "Bearer wrong", "Basic " + FakeAdminBackend.TOKEN)) {
      HttpRequest.Builder request = request(path, method, ACCOUNT).header("Request-Id", "r1");
      if (!header.isEmpty()) {
        request.header("Authorization", header);
      }
      HttpResponse<String> response = client.send(request.build(), BodyHandlers.ofString());
      assertWithMessage(header).that(response.statusCode()).isEqualTo(401);
      assertThat(json(response).size()).isEqualTo(2);
    }
    assertThat(revision()).isEqualTo(before);
    assertThat(server.metrics().counter("admin.unauthorized").getCount()).isEqualTo(4);
  }

  /** Guards against an operator that keeps access after it is deleted. */
  @Test
  void refusesDeletedOperator() throws Exception {
    String token = "second-token-of-this-test";
    String body = "{\"tokenHashHex\":\"" + OperatorTokens.hashHex(token) + "\"}";
    assertThat(send("PUT", "operators/second", body, "r1").statusCode()).isEqualTo(200);
    HttpRequest read =
        request("config", "GET", "").header("Authorization", "Bearer " + token).build();
    assertThat(client.send(read, BodyHandlers.ofString()).statusCode()).isEqualTo(200);
    assertThat(send("DELETE", "operators/second", "", "r2").statusCode()).isEqualTo(200);
    assertThat(client.send(read, BodyHandlers.ofString()).statusCode()).isEqualTo(401);
  }

  /** Guards against a change that is lost, or read back with values other than those sent. */
  @Test
  void changesAndReadsEveryKindOfEntity() throws Exception {
    assertThat(send("POST", "accounts", ACCOUNT, "r1").statusCode()).isEqualTo(201);
    JsonNode account = json(send("GET", "accounts/a1", "", null));
    assertThat(account.path("rateTokensPerSecond").doubleValue()).isEqualTo(10.0);
    assertThat(account.path("weight").intValue()).isEqualTo(2);

    String key = "{\"id\":\"k1\",\"keyHashHex\":\"" + HASH + "\"}";
    assertThat(send("POST", "accounts/a1/keys", key, "r2").statusCode()).isEqualTo(201);
    assertThat(json(send("GET", "accounts/a1/keys", "", null)).path("keys")).hasSize(1);
    assertThat(send("DELETE", "keys/k1", "", "r3").statusCode()).isEqualTo(200);
    assertThat(send("GET", "keys/k1", "", null).statusCode()).isEqualTo(404);

    String route =
        "{\"method\":\"*\",\"pathPrefix\":\"/x\",\"service\":\"pasok\",\"trafficClass\":"
            + "\"CRITICAL\",\"open\":false,\"repeatable\":true,\"timeoutMillis\":500}";
    assertThat(send("PUT", "routes/x", route, "r4").statusCode()).isEqualTo(200);
    assertThat(json(send("GET", "routes/x", "", null)).path("trafficClass").textValue())
        .isEqualTo("CRITICAL");

    assertThat(send("PUT", "preset-in-force", "{\"name\":\"peak\"}", "r5").statusCode())
        .isEqualTo(200);
    assertThat(json(send("GET", "preset-in-force", "", null)).path("name").textValue())
        .isEqualTo("peak");
    String preset = send("GET", "presets/peak", "", null).body();
    JsonNode node = new JsonMapper().readTree(preset);
    ((ObjectNode) node).remove(List.of("name", "revision", "configRevision"));
    assertThat(send("PUT", "presets/special", node.toString(), "r6").statusCode()).isEqualTo(200);

    String learner =
        "{\"vmId\":\"control-2\",\"peerAddress\":\"127.0.0.1:1\",\"relayAddress\":"
            + "\"127.0.0.1:2\",\"adminAddress\":\"127.0.0.1:3\"}";
    assertThat(send("POST", "members", learner, "r7").statusCode()).isEqualTo(201);
    assertThat(send("POST", "members/control-2/promote", "", "r8").statusCode()).isEqualTo(200);
    assertThat(send("DELETE", "members/control-2", "", "r9").statusCode()).isEqualTo(200);
    assertThat(send("DELETE", "members/control-1", "", "r10").statusCode()).isEqualTo(400);

    JsonNode config = json(send("GET", "config", "", null));
    assertThat(config.path("presets")).hasSize(3);
    assertThat(config.path("accounts").get(0).path("revision").longValue()).isEqualTo(5);
    assertThat(config.toString()).doesNotContain(OperatorTokens.hashHex(FakeAdminBackend.TOKEN));
    assertThat(json(send("GET", "audit?from=2&limit=3", "", null)).path("entries")).hasSize(3);
  }

  /** Guards against accepting two concurrent changes that expect the same revision. */
  @Test
  void acceptsOneOfTwoChangesAtOneRevision() throws Exception {
    long revision = revision();
    List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
    for (String id : List.of("a1", "a2")) {
      HttpRequest request =
          authorized("accounts", "POST", ACCOUNT.replace("a1", id))
              .header("Request-Id", "race-" + id)
              .header("If-Match", "\"" + revision + "\"")
              .build();
      responses.add(client.sendAsync(request, BodyHandlers.ofString()));
    }
    List<HttpResponse<String>> completed = new ArrayList<>();
    for (CompletableFuture<HttpResponse<String>> response : responses) {
      completed.add(response.get());
    }
    completed.sort(Comparator.comparing(HttpResponse::statusCode));
    assertThat(completed.get(0).statusCode()).isEqualTo(201);
    assertThat(completed.get(1).statusCode()).isEqualTo(409);
    JsonNode accepted = json(completed.get(0));
    JsonNode conflict = json(completed.get(1));
    assertThat(conflict.path("current")).isEqualTo(accepted.path("revision"));
    assertThat(conflict.path("winner").path("requestId")).isEqualTo(accepted.path("requestId"));
  }

  /** Guards against a resent change that is applied twice or gets a different response. */
  @Test
  void repeatsResponseToResentChange() throws Exception {
    server.onBackend(backend -> backend.dropResponses = true);
    HttpResponse<String> lost = send("POST", "accounts", ACCOUNT, "r1");
    assertThat(lost.statusCode()).isEqualTo(503);
    assertThat(lost.headers().firstValue("Retry-After")).isEqualTo(Optional.of("1"));
    assertThat(json(lost).path("error").textValue()).isEqualTo("outcome-unknown");
    server.onBackend(backend -> backend.dropResponses = false);
    HttpResponse<String> first = send("POST", "accounts", ACCOUNT, "r1");
    HttpResponse<String> second = send("POST", "accounts", ACCOUNT, "r1");
    assertThat(first.statusCode()).isEqualTo(201);
    assertThat(second.body()).isEqualTo(first.body());
    List<?> trail = server.onBackend(FakeAdminBackend::auditTrail);
    assertThat(trail).hasSize(1);
  }

  /** Guards against malformed bodies that are partially applied or cause status 500. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "{",
        "[]",
        "null",
        "{\"id\":\"a1\"}",
        "{\"id\":\"A 1\",\"rateTokensPerSecond\":10,\"burstTokens\":20}",
        "{\"id\":\"a1\",\"rateTokensPerSecond\":\"10\",\"burstTokens\":20}",
        "{\"id\":\"a1\",\"rateTokensPerSecond\":-1,\"burstTokens\":20}",
        "{\"id\":\"a1\",\"rateTokensPerSecond\":1e999,\"burstTokens\":20}",
        "{\"id\":\"a1\",\"rateTokensPerSecond\":1,\"burstTokens\":20,\"weight\":1.5}",
        "{\"id\":\"a1\",\"rateTokensPerSecond\":1,\"burstTokens\":20,\"extra\":1}",
        "{\"id\":\"a1\",\"id\":\"a2\",\"rateTokensPerSecond\":1,\"burstTokens\":20}",
        "{\"id\":\"a1\",\"rateTokensPerSecond\":1,\"burstTokens\":20} {}"
      })
  void refusesMalformedBody(String body) throws Exception {
    long before = revision();
    assertThat(send("POST", "accounts", body, "r1").statusCode()).isEqualTo(400);
    assertThat(revision()).isEqualTo(before);
  }

  /** Guards against a request body that exhausts the small heap. */
  @Test
  void refusesOversizedBody() throws Exception {
    long before = revision();
    String body = ACCOUNT + " ".repeat(ApiRequest.MAX_BODY_BYTES);
    assertThat(send("POST", "accounts", body, "r1").statusCode()).isEqualTo(413);
    String large = ACCOUNT + " ".repeat(1_000_000);
    assertThat(send("POST", "accounts", large, "r1").statusCode()).isEqualTo(413);
    HttpRequest refused = request("accounts", "POST", large).header("Request-Id", "r1").build();
    assertThat(client.send(refused, BodyHandlers.ofString()).statusCode()).isEqualTo(401);
    HttpRequest chunked =
        authorized("accounts", "POST", "")
            .header("Request-Id", "r2")
            .POST(
                BodyPublishers.ofInputStream(
                    () -> new ByteArrayInputStream(body.getBytes(StandardCharsets.UTF_8))))
            .build();
    assertThat(client.send(chunked, BodyHandlers.ofString()).statusCode()).isEqualTo(413);
    assertThat(revision()).isEqualTo(before);
  }

  /** Guards against changes without a valid request id, and against invalid revisions. */
  @Test
  void refusesBadHeaders() throws Exception {
    assertThat(send("POST", "accounts", ACCOUNT, null).statusCode()).isEqualTo(400);
    assertThat(send("POST", "accounts", ACCOUNT, "not valid").statusCode()).isEqualTo(400);
    HttpRequest request =
        authorized("accounts", "POST", ACCOUNT)
            .header("Request-Id", "r1")
            .header("If-Match", "*")
            .build();
    assertThat(client.send(request, BodyHandlers.ofString()).statusCode()).isEqualTo(400);
    assertThat(send("GET", "audit?limit=5000", "", null).statusCode()).isEqualTo(400);
    assertThat(send("GET", "no-such-path", "", null).statusCode()).isEqualTo(404);
    assertThat(send("PATCH", "accounts", "{}", "r1").statusCode()).isAnyOf(404, 405);
  }

  /** Guards against linearizable reads without a quorum, and a status that then fails. */
  @Test
  void needsQuorumForConfigurationButNotForStatus() throws Exception {
    server.onBackend(
        backend ->
            backend.unavailable =
                Optional.of(new BackendUnavailableException("no quorum", false, 2)));
    for (String path : List.of("config", "accounts", "audit", "preset-in-force")) {
      HttpResponse<String> response = send("GET", path, "", null);
      assertWithMessage(path).that(response.statusCode()).isEqualTo(503);
      assertThat(response.headers().firstValue("Retry-After")).isEqualTo(Optional.of("2"));
    }
    JsonNode status = json(send("GET", "status", "", null));
    assertThat(status.path("quorumConfirmed").booleanValue()).isFalse();
    assertThat(send("GET", "members", "", null).statusCode()).isEqualTo(200);
    HttpResponse<String> change = send("POST", "accounts", ACCOUNT, "r1");
    assertThat(json(change).path("error").textValue()).isEqualTo("unavailable");
  }

  /**
   * Guards against orders that are refused when repeated, and against those that can't be meant.
   */
  @Test
  void acceptsRepeatedOrdersAndRefusesInvalidOnes() throws Exception {
    server.onBackend(
        backend ->
            backend.daemons =
                List.of(
                    new AttachedDaemons.DaemonStatus(
                        new DaemonId("d1"),
                        new DataCentreId("here"),
                        new Revision(1),
                        10,
                        new VmId("control-1"))));
    HttpResponse<String> first = send("PUT", "evacuations/here", "", "r1");
    assertThat(first.statusCode()).isEqualTo(200);
    assertThat(send("PUT", "evacuations/here", "", "r1").body()).isEqualTo(first.body());
    assertThat(send("PUT", "evacuations/here", "", "r2").statusCode()).isEqualTo(200);
    JsonNode list = json(send("GET", "evacuations", "", null)).path("evacuations");
    assertThat(list).hasSize(1);
    assertThat(list.get(0).path("dataCentre").textValue()).isEqualTo("here");
    assertThat(list.get(0).path("startedAtMillis").longValue()).isGreaterThan(0);
    assertThat(json(send("GET", "config", "", null)).path("evacuations")).hasSize(1);

    assertThat(send("PUT", "evacuations/nowhere", "", "r3").statusCode()).isEqualTo(404);
    assertThat(send("DELETE", "evacuations/nowhere", "", "r4").statusCode()).isEqualTo(404);
    assertThat(send("PUT", "evacuations/here", "{}", "r5").statusCode()).isEqualTo(400);
    assertThat(send("PUT", "evacuations/here", "", null).statusCode()).isEqualTo(400);

    assertThat(send("DELETE", "evacuations/here", "", "r6").statusCode()).isEqualTo(200);
    assertThat(send("DELETE", "evacuations/here", "", "r7").statusCode()).isEqualTo(200);
    assertThat(json(send("GET", "evacuations", "", null)).path("evacuations")).isEmpty();

    server.onBackend(
        backend ->
            backend.unavailable =
                Optional.of(new BackendUnavailableException("no quorum", false, 2)));
    assertThat(send("PUT", "evacuations/here", "", "r8").statusCode()).isEqualTo(503);
    assertThat(send("PUT", "evacuations/nowhere", "", "r9").statusCode()).isEqualTo(503);
  }

  /** Guards against metrics that need a token or that a scraper cannot parse. */
  @Test
  void servesMetricsAndHealthWithoutToken() throws Exception {
    send("POST", "accounts", ACCOUNT, "r1");
    server.metrics().timer("call.duration").update(Duration.ofMillis(3));
    server.metrics().gauge("level", () -> () -> Double.NaN);
    String base = "http://" + server.endpoint();
    String text = get(base + "/metrics").body();
    assertThat(text).contains("admin_changes_accepted");
    assertThat(text).contains("call_duration");
    JsonNode json = json(get(base + "/metrics.json"));
    assertThat(json.path("counters").path("admin.changes.accepted").longValue()).isEqualTo(1);
    assertThat(json.path("timers").path("call.duration").path("max").longValue())
        .isEqualTo(3_000_000);
    assertThat(json.path("gauges").path("level").isNull()).isTrue();
    assertThat(get(base + "/healthz").statusCode()).isEqualTo(200);
    assertThat(get(base + "/other").statusCode()).isEqualTo(404);
  }

  private HttpResponse<String> send(String method, String path, String body, String requestId)
      throws Exception {
    HttpRequest.Builder request = authorized(path, method, body);
    if (requestId != null) {
      request.header("Request-Id", requestId);
    }
    return client.send(request.build(), BodyHandlers.ofString());
  }

  private HttpRequest.Builder authorized(String path, String method, String body) {
    return request(path, method, body).header("Authorization", "Bearer " + FakeAdminBackend.TOKEN);
  }

  private HttpRequest.Builder request(String path, String method, String body) {
    return HttpRequest.newBuilder(URI.create("http://" + server.endpoint() + "/v1/" + path))
        .method(
            method, method.equals("GET") ? BodyPublishers.noBody() : BodyPublishers.ofString(body));
  }

  private long revision() throws Exception {
    return server.onBackend(backend -> backend.revision().number());
  }

  private HttpResponse<String> get(String url) throws Exception {
    return client.send(HttpRequest.newBuilder(URI.create(url)).build(), BodyHandlers.ofString());
  }

  private static JsonNode json(HttpResponse<String> response) throws Exception {
    return new JsonMapper().readTree(response.body());
  }
}
