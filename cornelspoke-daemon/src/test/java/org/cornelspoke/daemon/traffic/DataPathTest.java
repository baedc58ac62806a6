package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.cornelspoke.daemon.traffic.RawClient.request;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.daemon.traffic.RawClient.Response;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.state.config.ActivePreset;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class DataPathTest {

  private final TestFleet fleet = new TestFleet();

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  /** Guards against a request that is lost or altered while it is forwarded through two daemons. */
  @Test
  void requestTravelsThroughTwoDaemons() throws Exception {
    try (StandInUpstream upstream =
        new StandInUpstream(
            (head, body, socket) ->
                StandInUpstream.respond(
                    socket,
                    201,
                    "got " + new String(body, UTF_8),
                    "X-Answer: yes",
                    "Keep-Alive: 5"))) {
      fleet.startWith("target", "svc", upstream);
      TrafficDaemon edge = fleet.start("edge");
      TestFleet.await(() -> status(edge, request("GET", "/read/x", "", TestFleet.KEY)) == 201);
      Response response =
          RawClient.once(
              edge.edgeAddress(),
              request(
                  "POST",
                  "/fees/1?a=b",
                  "hello",
                  TestFleet.KEY,
                  "X-Kept: 1",
                  "Connection: x-hop",
                  "X-Hop: 1",
                  "Cornelspoke-Deadline-Millis: 5000"));
      assertThat(response.status()).isEqualTo(201);
      assertThat(response.body()).isEqualTo("got hello");
      assertThat(response.header("X-Answer")).isEqualTo("yes");
      assertThat(response.header("Keep-Alive")).isNull();
      String head = upstream.requestHeads.get(upstream.requestHeads.size() - 1);
      assertThat(head).startsWith("POST /fees/1?a=b HTTP/1.1\r\n");
      assertThat(StandInUpstream.headerOf(head, "X-Kept")).isEqualTo("1");
      assertThat(StandInUpstream.headerOf(head, "X-Hop")).isNull();
      assertThat(head).doesNotContain("secret-key");
      long remainingMillis =
          Long.parseLong(StandInUpstream.headerOf(head, "Cornelspoke-Deadline-Millis"));
      assertThat(remainingMillis).isAtMost(5_000);
      assertThat(StandInUpstream.headerOf(head, "Cornelspoke-Context")).isNotEmpty();
    }
  }

  /**
   * Guards against large bodies that are truncated or reordered when a link splits them into
   * chunks.
   */
  @Test
  void largeBodiesArriveWhole() throws Exception {
    try (StandInUpstream upstream =
        new StandInUpstream(
            (head, body, socket) ->
                StandInUpstream.respond(
                    socket, 200, new String(body, UTF_8) + new String(body, UTF_8)))) {
      fleet.startWith("target", "svc", upstream);
      TrafficDaemon edge = fleet.start("edge");
      fleet.awaitRoute(edge, "/open");
      StringBuilder body = new StringBuilder();
      for (int i = 0; body.length() < 400_000; i++) {
        body.append(i).append(',');
      }
      Response response =
          RawClient.once(edge.edgeAddress(), request("POST", "/open", body.toString()));
      assertThat(response.body()).isEqualTo(body.toString() + body);
    }
  }

  /** Guards against refusals with a wrong status, verdict or reason, or without Retry-After. */
  @Test
  void refusalsNameReasonAndVerdict() throws Exception {
    TrafficDaemon edge = fleet.start("edge");
    String read = request("GET", "/read", "", TestFleet.KEY);
    assertRefusal(edge, request("GET", "/read", ""), 401, "key", null);
    assertRefusal(edge, request("GET", "/read", "", "Authorization: Bearer x"), 401, "key", null);
    assertRefusal(edge, request("GET", "/nowhere", ""), 404, "no-route", null);
    assertRefusal(edge, read, 503, "no-target", "1");
    assertRefusal(
        edge,
        request("GET", "/read", "", TestFleet.KEY, "Cornelspoke-Deadline-Millis: 0"),
        504,
        "deadline",
        "1");
    fleet.withinRate.set(false);
    assertRefusal(edge, read, 429, "rate", "2");
    fleet.replace(new ActivePreset(new PresetName("peak")));
    assertRefusal(edge, request("GET", "/files", "", TestFleet.KEY), 503, "preset", "5");
    fleet.viewIsFresh.set(false);
    assertRefusal(edge, read, 503, "stale", "1");
    assertRefusal(edge, request("GET", "/nowhere", ""), 503, "stale", "1");
    assertThat(fleet.metrics.get("edge").counter("edge.refused.key").getCount()).isEqualTo(2);
  }

  /**
   * Guards against a daemon that starts partially, or that keeps ports bound after a failed start.
   */
  @Test
  void startFailsIfAnAddressIsInUse() throws Exception {
    TrafficDaemon first = fleet.start("a");
    Endpoint used = new Endpoint("127.0.0.1", first.edgeAddress().getPort());
    TrafficSettings settings =
        TrafficSettings.builder(new DaemonId("b"), new DataCentreId("here"))
            .withAddresses(used, TestFleet.ANY_PORT, TestFleet.ANY_PORT)
            .build();
    TrafficDaemon second = fleet.build(settings);
    assertThrows(IOException.class, second::start);
    second.stop().get(10, TimeUnit.SECONDS);
  }

  /** Guards against a withdrawn key that is still accepted on an open connection. */
  @Test
  void withdrawnKeyStopsOnAnOpenConnection() throws Exception {
    try (StandInUpstream upstream = StandInUpstream.answering("ok")) {
      TrafficDaemon daemon = fleet.startWith("target", "svc", upstream);
      try (RawClient client = new RawClient(daemon.edgeAddress())) {
        String read = request("GET", "/read", "", TestFleet.KEY);
        assertThat(client.call(read).status()).isEqualTo(200);
        fleet.withdrawKeys();
        assertThat(client.call(read).status()).isEqualTo(401);
      }
    }
  }

  private static int status(TrafficDaemon daemon, String raw) {
    try {
      return RawClient.once(daemon.edgeAddress(), raw).status();
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private static void assertRefusal(
      TrafficDaemon edge, String raw, int status, String reason, String retryAfter)
      throws Exception {
    Response response = RawClient.once(edge.edgeAddress(), raw);
    assertThat(response.status()).isEqualTo(status);
    assertThat(response.reason()).isEqualTo(reason);
    assertThat(response.verdict()).isEqualTo("not-run");
    assertThat(response.header("Retry-After")).isEqualTo(retryAfter);
  }
}
