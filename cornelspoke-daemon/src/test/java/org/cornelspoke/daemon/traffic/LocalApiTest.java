package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.cornelspoke.daemon.traffic.RawClient.request;

import java.util.concurrent.CountDownLatch;
import org.cornelspoke.daemon.traffic.RawClient.Response;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.registry.TargetState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LocalApiTest {

  private final TestFleet fleet = new TestFleet();

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  /** Guards against calls to an upstream that has disappeared without withdrawing. */
  @Test
  void upstreamWithoutRenewalIsWithdrawn() throws Exception {
    try (StandInUpstream upstream = StandInUpstream.answering("ok")) {
      TrafficDaemon daemon = fleet.start("a");
      String announcement =
          "{\"service\":\"svc\",\"address\":\"" + upstream.address() + "\",\"slots\":5,";
      // The long lease replaces the short one, whose expiry must then have no effect.
      for (int leaseMillis : new int[] {200, 600_000}) {
        String body = announcement + "\"leaseMillis\":" + leaseMillis + "}";
        assertThat(TestFleet.local(daemon, "/v1/announce", body).status()).isEqualTo(204);
      }
      Thread.sleep(400);
      assertThat(fleet.isRegistered("a:svc")).isTrue();
      String last = announcement + "\"leaseMillis\":100}";
      assertThat(TestFleet.local(daemon, "/v1/announce", last).status()).isEqualTo(204);
      TestFleet.await(() -> !fleet.isRegistered("a:svc"));
      assertThat(fleet.metrics.get("a").counter("local.leases-ended").getCount()).isAtLeast(1);
      Response response = RawClient.once(daemon.edgeAddress(), request("GET", "/open", ""));
      assertThat(response.reason()).isEqualTo("no-target");
    }
  }

  /**
   * Guards against new calls to a draining upstream, and against running calls that are aborted.
   */
  @Test
  void drainRefusesNewCallsAndCompletesRunningOnes() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    try (StandInUpstream upstream =
        new StandInUpstream(
            (head, body, socket) -> {
              release.await();
              StandInUpstream.respond(socket, 200, "done");
            })) {
      TrafficDaemon daemon = fleet.startWith("a", "svc", upstream);
      try (RawClient running = new RawClient(daemon.edgeAddress())) {
        running.send(request("GET", "/open", ""));
        TestFleet.await(() -> upstream.requestHeads.size() == 1);
        String service = "{\"service\":\"svc\"}";
        assertThat(TestFleet.local(daemon, "/v1/drain", service).status()).isEqualTo(204);
        assertThat(fleet.target("a:svc").state()).isEqualTo(TargetState.DRAINING);
        // A renewal during the drain must not end the drain.
        TestFleet.announce(daemon, "svc", upstream, 10);
        Response refused = RawClient.once(daemon.edgeAddress(), request("GET", "/open", ""));
        assertThat(refused.status()).isEqualTo(503);
        assertThat(refused.verdict()).isEqualTo("not-run");
        assertThat(TestFleet.local(daemon, "/v1/withdraw", service).status()).isEqualTo(204);
        assertThat(fleet.isRegistered("a:svc")).isFalse();
        release.countDown();
        assertThat(running.read().body()).isEqualTo("done");
        assertThat(upstream.requestHeads).hasSize(1);
      }
    }
  }

  /**
   * Guards against new calls to a draining upstream from daemons that are unaware of the drain,
   * because they or this daemon are disconnected from the control group.
   */
  @Test
  void drainRefusesCallsOfDaemonsUnawareOfIt() throws Exception {
    try (StandInUpstream upstream =
        new StandInUpstream((head, body, socket) -> StandInUpstream.respond(socket, 200, "done"))) {
      TrafficDaemon daemon = fleet.startWith("a", "svc", upstream);
      TrafficDaemon edge = fleet.start("edge");
      fleet.awaitRoute(edge, "/open");
      Target before = fleet.target("a:svc");
      assertThat(TestFleet.local(daemon, "/v1/drain", "{\"service\":\"svc\"}").status())
          .isEqualTo(204);
      fleet.publish(before);
      assertThat(fleet.target("a:svc").state()).isEqualTo(TargetState.UP);
      int served = upstream.requestHeads.size();

      Response refused = RawClient.once(edge.edgeAddress(), request("GET", "/open", ""));

      assertThat(refused.status()).isEqualTo(503);
      assertThat(refused.verdict()).isEqualTo("not-run");
      assertThat(upstream.requestHeads).hasSize(served);
    }
  }

  /** Guards against invalid announcements that are accepted. */
  @Test
  void invalidAnnouncementsAreRefused() throws Exception {
    TrafficDaemon daemon = fleet.start("a");
    assertRule(daemon, "/v1/announce", "", "body must be a JSON object");
    assertRule(daemon, "/v1/announce", "[]", "body must be a JSON object");
    assertRule(daemon, "/v1/announce", "{", "body must be JSON");
    assertRule(daemon, "/v1/announce", "{} x", "body must be JSON");
    assertRule(
        daemon, "/v1/announce", "{\"service\":\"a\",\"service\":\"b\"}", "body must be JSON");
    assertRule(daemon, "/v1/announce", "{\"servce\":\"a\"}", "unknown field: servce");
    assertRule(daemon, "/v1/announce", "{\"service\":\"A b\"}", "ServiceName must match");
    assertRule(daemon, "/v1/announce", announcement("\"host:1\"", "1"), "ip must be an IP number");
    assertRule(daemon, "/v1/announce", announcement("\"1.2.3.4:0\"", "1"), "port above 0");
    assertRule(daemon, "/v1/announce", announcement("\"1.2.3.4:5\"", "0"), "slots must be");
    assertRule(daemon, "/v1/announce", announcement("\"1.2.3.4:5\"", "1.5"), "slots must be");
    assertRule(daemon, "/v1/drain", "{\"service\":\"svc\"}", "service must be announced");
    assertRule(daemon, "/v1/withdraw", "{\"service\":\"svc\"}", "service must be announced");
    assertThat(RawClient.once(daemon.localAddress(), request("GET", "/v1/drain", "")).status())
        .isEqualTo(405);
    assertThat(RawClient.once(daemon.localAddress(), request("POST", "/v2", "{}")).status())
        .isEqualTo(404);
  }

  /** Guards against calls to the previous address after an upstream has moved to another port. */
  @Test
  void newAddressReplacesTheOld() throws Exception {
    try (StandInUpstream first = StandInUpstream.answering("first");
        StandInUpstream second = StandInUpstream.answering("second")) {
      TrafficDaemon daemon = fleet.startWith("a", "svc", first);
      TestFleet.announce(daemon, "svc", second, 10);
      assertThat(RawClient.once(daemon.edgeAddress(), request("GET", "/open", "")).body())
          .isEqualTo("second");
      assertThat(first.requestHeads).isEmpty();
    }
  }

  private static String announcement(String address, String slots) {
    return "{\"service\":\"svc\",\"address\":" + address + ",\"slots\":" + slots + "}";
  }

  private static void assertRule(TrafficDaemon daemon, String path, String body, String rule)
      throws Exception {
    Response response = TestFleet.local(daemon, path, body);
    assertWithMessage(body).that(response.status()).isEqualTo(400);
    assertWithMessage(body).that(response.body()).contains(rule);
  }
}
