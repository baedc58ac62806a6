package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.cornelspoke.daemon.traffic.RawClient.request;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelspoke.daemon.traffic.RawClient.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class FailureTest {

  private static final StandInUpstream.Script TRUNCATED_RESPONSE =
      (head, body, socket) -> {
        StandInUpstream.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
        socket.close();
      };
  private static final StandInUpstream.Script SHED =
      (head, body, socket) -> StandInUpstream.respond(socket, 503, "", "Cornelspoke-Shed: 1");
  private static final StandInUpstream.Script OK =
      (head, body, socket) -> StandInUpstream.respond(socket, 200, "ok");

  private final TestFleet fleet = new TestFleet();

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  /**
   * Guards against a retry of an unrepeatable request whose first attempt has an unknown outcome.
   */
  @Test
  void unrepeatableRequestIsNotRepeatedAfterUnknownOutcome() throws Exception {
    try (StandInUpstream first = new StandInUpstream(TRUNCATED_RESPONSE);
        StandInUpstream second = new StandInUpstream(OK)) {
      TrafficDaemon edge = edgeOf(first, second);
      Response fee =
          RawClient.once(edge.edgeAddress(), request("POST", "/fees", "", TestFleet.KEY));
      assertThat(fee.status()).isEqualTo(502);
      assertThat(fee.reason()).isEqualTo("upstream-failed");
      assertThat(fee.verdict()).isEqualTo("may-have-run");
      assertThat(second.requestHeads).isEmpty();
      Response read =
          RawClient.once(edge.edgeAddress(), request("GET", "/read", "", TestFleet.KEY));
      assertThat(read.body()).isEqualTo("ok");
    }
  }

  /** Guards against a refusal of a request that another target could have served. */
  @Test
  void shedRequestGoesToAnotherTarget() throws Exception {
    try (StandInUpstream first = new StandInUpstream(SHED);
        StandInUpstream second = new StandInUpstream(OK)) {
      TrafficDaemon edge = edgeOf(first, second);
      Response fee =
          RawClient.once(edge.edgeAddress(), request("POST", "/fees", "", TestFleet.KEY));
      assertThat(fee.status()).isEqualTo(200);
      assertThat(first.requestHeads).hasSize(1);
      second.script = SHED;
      Response refused =
          RawClient.once(edge.edgeAddress(), request("POST", "/fees", "", TestFleet.KEY));
      assertThat(refused.status()).isEqualTo(503);
      assertThat(refused.verdict()).isEqualTo("not-run");
      assertThat(refused.header("Retry-After")).isEqualTo("1");
    }
  }

  /** Guards against the verdict "not run" when an earlier attempt may have run. */
  @Test
  void oneUnknownOutcomeDecidesTheVerdict() throws Exception {
    try (StandInUpstream first = new StandInUpstream(TRUNCATED_RESPONSE);
        StandInUpstream second = new StandInUpstream(SHED)) {
      TrafficDaemon edge = edgeOf(first, second);
      Response read =
          RawClient.once(edge.edgeAddress(), request("GET", "/read", "", TestFleet.KEY));
      assertThat(read.status()).isEqualTo(503);
      assertThat(read.verdict()).isEqualTo("may-have-run");
      assertThat(second.requestHeads).hasSize(1);
    }
  }

  /**
   * Guards against a refusal that submits the caller's next request to a gate before the gate's own
   * method has returned.
   */
  @Test
  void pipelinedRefusalsDoNotReenterTheGate() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    try (StandInUpstream upstream =
        new StandInUpstream(
            (head, body, socket) -> {
              release.await();
              StandInUpstream.respond(socket, 200, "ok");
            })) {
      TrafficDaemon daemon = fleet.start("a");
      TestFleet.announce(daemon, "svc", upstream, 1);
      List<RawClient> waiting = new ArrayList<>();
      String fee = request("POST", "/fees", "", TestFleet.KEY);
      for (int i = 0; i < 21; i++) {
        waiting.add(new RawClient(daemon.edgeAddress()));
        waiting.get(i).send(fee);
      }
      TestFleet.await(() -> fleet.metrics.get("a").counter("edge.attempts").getCount() == 21);
      try (RawClient client = new RawClient(daemon.edgeAddress())) {
        client.send(fee.repeat(30));
        for (int i = 0; i < 30; i++) {
          assertThat(client.read().reason()).isEqualTo("overload");
        }
      }
      release.countDown();
      for (RawClient client : waiting) {
        assertThat(client.read().status()).isEqualTo(200);
        client.close();
      }
    }
  }

  /**
   * Guards against a missed deadline, and against a late response that is delivered for another
   * request.
   */
  @Test
  void deadlineEndsTheExchange() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    try (StandInUpstream upstream =
        new StandInUpstream(
            (head, body, socket) -> {
              if (head.startsWith("POST")) {
                release.await();
                StandInUpstream.respond(socket, 200, "late");
              } else {
                StandInUpstream.respond(socket, 200, "ok");
              }
            })) {
      TrafficDaemon edge = edgeOf(upstream);
      fleet.awaitRoute(edge, "/open");
      try (RawClient client = new RawClient(edge.edgeAddress())) {
        Response fee =
            client.call(
                request("POST", "/fees", "", TestFleet.KEY, "Cornelspoke-Deadline-Millis: 50"));
        assertThat(fee.status()).isEqualTo(504);
        assertThat(fee.reason()).isEqualTo("upstream-timeout");
        assertThat(fee.verdict()).isEqualTo("may-have-run");
        release.countDown();
        assertThat(client.call(request("GET", "/open", "")).body()).isEqualTo("ok");
      }
    }
  }

  /** Guards against work at the upstream for a caller that has disconnected. */
  @Test
  void disconnectedCallerClosesTheUpstreamConnection() throws Exception {
    try (StandInUpstream upstream = new StandInUpstream(OK)) {
      TrafficDaemon edge = edgeOf(upstream);
      fleet.awaitRoute(edge, "/open");
      int before = upstream.requestHeads.size();
      AtomicInteger closed = new AtomicInteger();
      upstream.script =
          (head, body, socket) -> {
            if (socket.getInputStream().read() < 0) {
              closed.incrementAndGet();
            }
          };
      try (RawClient client = new RawClient(edge.edgeAddress())) {
        client.send(request("POST", "/fees", "", TestFleet.KEY));
        TestFleet.await(() -> upstream.requestHeads.size() == before + 1);
      }
      TestFleet.await(() -> closed.get() == 1);
      TestFleet.await(() -> fleet.metrics.get("edge").counter("edge.abandoned").getCount() == 1);
    }
  }

  /** Guards against a second run of a request that is resent with the same idempotency key. */
  @Test
  void requestWithIdempotencyKeyRunsOnce() throws Exception {
    AtomicInteger runs = new AtomicInteger();
    try (StandInUpstream upstream =
        new StandInUpstream(
            (head, body, socket) ->
                StandInUpstream.respond(
                    socket,
                    201,
                    "run " + runs.incrementAndGet(),
                    "Set-Cookie: a",
                    "Set-Cookie: b"))) {
      TrafficDaemon daemon = fleet.startWith("a", "svc", upstream);
      String fee = request("POST", "/fees", "x", TestFleet.KEY, "Idempotency-Key: 7");
      for (int i = 0; i < 2; i++) {
        Response response = RawClient.once(daemon.edgeAddress(), fee);
        assertThat(response.status()).isEqualTo(201);
        assertThat(response.body()).isEqualTo("run 1");
        assertThat(response.head()).containsMatch("(?is)set-cookie: a.*set-cookie: b");
      }
      Response mismatch =
          RawClient.once(
              daemon.edgeAddress(),
              request("POST", "/fees", "y", TestFleet.KEY, "Idempotency-Key: 7"));
      assertThat(mismatch.status()).isEqualTo(422);
      upstream.script = SHED;
      String shed = request("POST", "/fees", "x", TestFleet.KEY, "Idempotency-Key: 8");
      assertThat(RawClient.once(daemon.edgeAddress(), shed).verdict()).isEqualTo("not-run");
      assertThat(fleet.claims.size()).isEqualTo(1);
      upstream.script = TRUNCATED_RESPONSE;
      assertThat(RawClient.once(daemon.edgeAddress(), shed).status()).isEqualTo(502);
      Response resend = RawClient.once(daemon.edgeAddress(), shed);
      assertThat(resend.status()).isEqualTo(409);
      assertThat(resend.verdict()).isEqualTo("may-have-run");
      fleet.claims.available = false;
      Response unavailable = RawClient.once(daemon.edgeAddress(), shed);
      assertThat(unavailable.reason()).isEqualTo("claim-unavailable");
      assertThat(unavailable.verdict()).isEqualTo("not-run");
    }
  }

  /**
   * Guards against a claimed request that is cancelled when its caller disconnects and resends it.
   */
  @Test
  void claimedRequestOutlivesItsCaller() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    try (StandInUpstream upstream =
        new StandInUpstream(
            (head, body, socket) -> {
              release.await();
              StandInUpstream.respond(socket, 200, "once");
            })) {
      TrafficDaemon daemon = fleet.startWith("a", "svc", upstream);
      String fee = request("POST", "/fees", "x", TestFleet.KEY, "Idempotency-Key: 9");
      try (RawClient client = new RawClient(daemon.edgeAddress())) {
        client.send(fee);
        TestFleet.await(() -> upstream.requestHeads.size() == 1);
      }
      TestFleet.await(() -> fleet.metrics.get("a").counter("edge.abandoned").getCount() == 1);
      assertThat(RawClient.once(daemon.edgeAddress(), fee).reason()).isEqualTo("claim-running");
      release.countDown();
      TestFleet.await(() -> statusOf(daemon, fee) == 200);
      assertThat(upstream.requestHeads).hasSize(1);
    }
  }

  private TrafficDaemon edgeOf(StandInUpstream... upstreams) throws IOException {
    for (int i = 0; i < upstreams.length; i++) {
      fleet.startWith("target-" + i, "svc", upstreams[i]);
    }
    TrafficDaemon edge = fleet.start("edge");
    TestFleet.await(() -> readyLinks("edge") >= upstreams.length);
    return edge;
  }

  private long readyLinks(String daemon) {
    return fleet.metrics.get(daemon).counter("link.ready").getCount();
  }

  private static int statusOf(TrafficDaemon daemon, String raw) {
    try {
      return RawClient.once(daemon.edgeAddress(), raw).status();
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }
}
