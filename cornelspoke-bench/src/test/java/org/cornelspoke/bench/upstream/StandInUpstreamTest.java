package org.cornelspoke.bench.upstream;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import org.cornelspoke.bench.http.LoopThread;
import org.cornelspoke.bench.http.ResponseBody;
import org.cornelspoke.bench.http.WireClient;
import org.cornelspoke.bench.http.WireException;
import org.cornelspoke.bench.http.WireFormat;
import org.cornelspoke.bench.http.WireMessage;
import org.cornelspoke.bench.http.WireServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a stand-in whose faults or log do not show what really happened. */
class StandInUpstreamTest {

  private static final long TIMEOUT_MILLIS = 30_000;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @TempDir private Path folder;
  private final LoopThread thread = new LoopThread("test");
  private final BlockingQueue<String> daemonCalls = new LinkedBlockingQueue<>();
  private WireServer daemon;
  private WireClient client;
  private StandInUpstream upstream;

  @BeforeEach
  void startUpstream() {
    daemon =
        new WireServer(
            thread.loop(),
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            exchange -> {
              WireMessage request = exchange.request();
              daemonCalls.add(
                  request.path()
                      + " "
                      + request.header("Cornelspoke-Context").orElse("-")
                      + " "
                      + request.header("Bench-Request-Id").orElse("-"));
              if (request.path().equals("/hang")) {
                exchange.onCancel(() -> daemonCalls.add("cancelled /hang"));
                return;
              }
              exchange.respond(request.path().startsWith("/v1/") ? 204 : 200, "");
            });
    thread.call(
        () -> {
          daemon.start();
          client = new WireClient(thread.loop());
          String daemonAddress = "127.0.0.1:" + daemon.port();
          upstream =
              new StandInUpstream(
                  thread.loop(),
                  new UpstreamConfig(
                      "pasok-1",
                      "pasok",
                      "127.0.0.1:0",
                      "127.0.0.1:0",
                      daemonAddress,
                      daemonAddress,
                      logFile().toString(),
                      7,
                      10_000,
                      MAPPER.readTree("{\"serviceMillis\": 0, \"bodyBytes\": 1000}")));
          upstream.start();
          return null;
        });
  }

  @AfterEach
  void stop() {
    thread.call(
        () -> {
          upstream.close();
          daemon.stop();
          client.close();
          return null;
        });
    thread.stop();
  }

  @Test
  void answersItsOwnRequestAndLogsIt() throws Exception {
    WireMessage answer =
        call("POST", "/pasok/entries", Map.of("Bench-Request-Id", "a.1", "Idempotency-Key", "k"));

    assertThat(answer.status()).isEqualTo(200);
    assertThat(ResponseBody.requestIdOf(answer.body())).isEqualTo("a.1");
    assertThat(ResponseBody.isIntact(answer.body(), 1000)).isTrue();
    List<RequestEvent> events = events();
    assertThat(events.stream().map(RequestEvent::kind).toList())
        .containsExactly(RequestEvent.Kind.STARTED, RequestEvent.Kind.COMPLETED)
        .inOrder();
    assertThat(events.get(0).idempotencyKey()).isEqualTo("k");
    assertThat(events.get(0).authorization()).isFalse();
  }

  @Test
  void recordsAnAuthorizationHeader() throws Exception {
    call("GET", "/x", Map.of("Authorization", "Bearer secret"));

    assertThat(events().get(0).authorization()).isTrue();
    assertThat(control("GET", "").at("/counters/withAuthorization").asInt()).isEqualTo(1);
    assertThat(Files.readString(logFile())).doesNotContain("secret");
  }

  @Test
  void shedsWithoutRunning() throws Exception {
    control("POST", "{\"shedProbability\": 1}");

    WireMessage answer = call("GET", "/x", Map.of());

    assertThat(answer.status()).isEqualTo(503);
    assertThat(answer.header("Cornelspoke-Shed").orElseThrow()).isEqualTo("1");
    assertThat(events().stream().map(RequestEvent::kind).toList())
        .containsExactly(RequestEvent.Kind.SHED);
  }

  @Test
  void dropsTruncatesAndAddsSurplusOnDemand() throws Exception {
    control("POST", "{\"dropProbability\": 1}");
    assertThat(failureOf("/x")).isEqualTo(WireException.Kind.CLOSED);

    control("POST", "{\"dropProbability\": 0, \"truncateProbability\": 1}");
    assertThat(failureOf("/x")).isEqualTo(WireException.Kind.TRUNCATED);

    control("POST", "{\"truncateProbability\": 0, \"surplusProbability\": 1}");
    assertThat(call("GET", "/x", Map.of()).status()).isEqualTo(200);
    call("GET", "/health", Map.of());
    assertThat(thread.call(client::unsolicitedResponses)).isEqualTo(1);
  }

  @Test
  void stopsWorkWhenTheCallerLeaves() throws Exception {
    control("POST", "{\"delayMillis\": 3600000}");
    assertThat(failureAfter("/x", 50)).isEqualTo(WireException.Kind.TIMEOUT);

    awaitRunning(0);
    assertThat(events().get(1).kind()).isEqualTo(RequestEvent.Kind.CANCELLED);
  }

  @Test
  void stopsWorkAtTheDeadline() throws Exception {
    control("POST", "{\"delayMillis\": 3600000}");

    assertThat(call("GET", "/x", Map.of("Cornelspoke-Deadline-Millis", "20")).status())
        .isEqualTo(504);
    assertThat(events().get(1).kind()).isEqualTo(RequestEvent.Kind.CANCELLED);
  }

  @Test
  void waitsForASlotAndShedsBeyondTheQueue() throws Exception {
    control("POST", "{\"slots\": 1, \"queueLimit\": 0, \"delayMillis\": 3600000}");
    CompletableFuture<WireMessage> first = start("GET", "/x", Map.of(), TIMEOUT_MILLIS);
    awaitRunning(1);

    assertThat(call("GET", "/x", Map.of()).status()).isEqualTo(503);
    assertThat(first.isDone()).isFalse();
  }

  @Test
  void passesTheContextToNestedCalls() throws Exception {
    control(
        "POST",
        "{\"nestedCalls\": [{\"whenPathPrefix\": \"/pasok/entries\", \"method\": \"GET\", \"path\":"
            + " \"/members\"}]}");
    awaitDaemonCall("/v1/announce");

    call("POST", "/pasok/entries", Map.of("Bench-Request-Id", "a.1", "Cornelspoke-Context", "c"));

    assertThat(awaitDaemonCall("/members")).isEqualTo("/members c a.1/1");
  }

  @Test
  void cancelsNestedCallsWhenTheCallerLeaves() throws Exception {
    control(
        "POST",
        "{\"nestedCalls\": [{\"whenPathPrefix\": \"/x\", \"method\": \"GET\","
            + " \"path\": \"/hang\"}]}");

    assertThat(failureAfter("/x", 50)).isEqualTo(WireException.Kind.TIMEOUT);

    assertThat(awaitDaemonCall("cancelled")).isEqualTo("cancelled /hang");
  }

  @Test
  void drainsAndWithdrawsWhenItLeaves() throws Exception {
    awaitDaemonCall("/v1/announce");
    CompletableFuture<Boolean> left = new CompletableFuture<>();

    thread.loop().execute(() -> upstream.leave().whenComplete(() -> left.complete(true)));

    assertThat(left.get()).isTrue();
    assertThat(awaitDaemonCall("/v1/")).startsWith("/v1/drain");
    assertThat(awaitDaemonCall("/v1/")).startsWith("/v1/withdraw");
  }

  @Test
  void liesAboutHealthAndLoadAndRefusesUnknownFields() throws Exception {
    control("POST", "{\"healthStatus\": 500, \"reportedLoad\": 42.5}");

    assertThat(call("GET", "/health", Map.of()).status()).isEqualTo(500);
    assertThat(call("GET", "/load", Map.of()).bodyText()).contains("42.5");
    assertThrows(
        IllegalArgumentException.class,
        () -> UpstreamBehaviour.DEFAULT.with(MAPPER.readTree("{\"slot\": 1}")));
  }

  @Test
  void coldStartSlowsTheService() {
    UpstreamBehaviour cold =
        UpstreamBehaviour.DEFAULT.with(
            MAPPER.createObjectNode().put("coldStartMillis", 100).put("coldStartFactor", 5));

    double first = new ServiceTime(3).nextMillis(cold, 0);
    double warm = new ServiceTime(3).nextMillis(cold, 100);

    assertThat(first / warm).isWithin(1e-9).of(5);
  }

  private Path logFile() {
    return folder.resolve("pasok-1.log");
  }

  private List<RequestEvent> events() throws IOException {
    return Files.readAllLines(logFile()).stream().map(StandInUpstreamTest::parse).toList();
  }

  private static RequestEvent parse(String line) {
    try {
      return MAPPER.readValue(line, RequestEvent.class);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private JsonNode control(String method, String json) throws Exception {
    WireMessage answer =
        start(upstream.controlPort(), method, "/control", Map.of(), json, TIMEOUT_MILLIS).get();
    assertThat(answer.status()).isEqualTo(200);
    return MAPPER.readTree(answer.bodyText());
  }

  private void awaitRunning(int count) throws Exception {
    while (control("GET", "").get("running").asInt() != count) {
      Thread.onSpinWait();
    }
  }

  private String awaitDaemonCall(String prefix) throws InterruptedException {
    String call = daemonCalls.take();
    while (!call.startsWith(prefix)) {
      call = daemonCalls.take();
    }
    return call;
  }

  private WireException.Kind failureOf(String path) {
    return failureAfter(path, TIMEOUT_MILLIS);
  }

  private WireException.Kind failureAfter(String path, long timeoutMillis) {
    ExecutionException failure =
        assertThrows(
            ExecutionException.class, () -> start("GET", path, Map.of(), timeoutMillis).get());
    return ((WireException) failure.getCause()).kind();
  }

  private WireMessage call(String method, String path, Map<String, String> headers)
      throws Exception {
    return start(method, path, headers, TIMEOUT_MILLIS).get();
  }

  private CompletableFuture<WireMessage> start(
      String method, String path, Map<String, String> headers, long timeoutMillis) {
    return start(upstream.port(), method, path, headers, "", timeoutMillis);
  }

  private CompletableFuture<WireMessage> start(
      int port,
      String method,
      String path,
      Map<String, String> headers,
      String body,
      long timeoutMillis) {
    byte[] request =
        WireFormat.request(
            method, path, "127.0.0.1", headers, body.getBytes(StandardCharsets.UTF_8));
    CompletableFuture<WireMessage> result = new CompletableFuture<>();
    thread
        .loop()
        .execute(
            () ->
                client
                    .call(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                        request,
                        timeoutMillis)
                    .whenComplete(
                        (answer, e) -> {
                          if (e == null) {
                            result.complete(answer);
                          } else {
                            result.completeExceptionally(e);
                          }
                        }));
    return result;
  }
}
