package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.cornelspoke.daemon.traffic.RawClient.request;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.daemon.traffic.RawClient.Response;
import org.cornelspoke.model.TrafficClass;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StalledLoopTest {

  private static final int TIMEOUT_MILLIS = 300;
  private static final long STALL_MILLIS = 2 * TIMEOUT_MILLIS;

  private final TestFleet fleet = new TestFleet();
  private StandInUpstream upstream;

  @BeforeEach
  void start() throws Exception {
    upstream = StandInUpstream.answering("ok");
    fleet.replace(
        TestFleet.route("/short", "svc", TrafficClass.INTERACTIVE, true, true, TIMEOUT_MILLIS));
  }

  @AfterEach
  void stop() throws Exception {
    upstream.close();
    fleet.close();
  }

  @Test
  void requestWhoseTimeoutPassedOnItsSocketReachesNoTarget() throws Exception {
    TrafficDaemon daemon = fleet.startWith("a", "svc", upstream);
    try (RawClient client = new RawClient(daemon.edgeAddress())) {
      Stall stall = new Stall("a");
      client.send(request("GET", "/short/late", ""));
      stall.end();
      Response response = client.read();
      assertThat(response.reason()).isEqualTo("deadline");
      assertThat(response.verdict()).isEqualTo("not-run");
    }
    assertThat(pathsSeen()).isEmpty();
  }

  @Test
  void requestWhoseCallerLeftWhileItWasOnItsSocketReachesNoTarget() throws Exception {
    TrafficDaemon daemon = fleet.startWith("a", "svc", upstream);
    Stall stall = new Stall("a");
    try (RawClient client = new RawClient(daemon.edgeAddress())) {
      client.send(request("GET", "/open/left", ""));
    }
    stall.end();
    awaitAnswerOf(daemon, "/open/after");
    assertThat(pathsSeen()).containsExactly("/open/after");
  }

  @Test
  void callCancelledWhileItWasOnItsSocketReachesNoUpstream() throws Exception {
    TrafficDaemon edge = fleet.start("edge");
    fleet.startWith("a", "svc", upstream);
    fleet.awaitRoute(edge, "/open/before");
    Stall stall = new Stall("a");
    try (RawClient client = new RawClient(edge.edgeAddress())) {
      client.send(request("GET", "/open/left", ""));
      TestFleet.await(() -> counter("edge", "edge.attempts") >= 2);
    }
    TestFleet.await(() -> counter("edge", "edge.abandoned") >= 1);
    stall.end();
    awaitAnswerOf(edge, "/open/after");
    assertThat(pathsSeen()).doesNotContain("/open/left");
  }

  @Test
  void callWhoseTimeoutPassedOnItsSocketReachesNoUpstream() throws Exception {
    TrafficDaemon edge = fleet.start("edge");
    fleet.startWith("a", "svc", upstream);
    fleet.awaitRoute(edge, "/open/before");
    Stall stall = new Stall("a");
    try (RawClient client = new RawClient(edge.edgeAddress())) {
      assertThat(client.call(request("GET", "/short/late", "")).status()).isEqualTo(504);
    }
    stall.end();
    awaitAnswerOf(edge, "/open/after");
    assertThat(pathsSeen()).doesNotContain("/short/late");
  }

  @Test
  void requestBehindAnotherOnItsConnectionIsNotStartedAfterItsTimeout() throws Exception {
    upstream.script =
        (head, body, socket) -> {
          if (head.contains("/open/first")) {
            Thread.sleep(STALL_MILLIS);
          }
          StandInUpstream.respond(socket, 200, "ok");
        };
    TrafficDaemon daemon = fleet.startWith("a", "svc", upstream);
    try (RawClient client = new RawClient(daemon.edgeAddress())) {
      client.send(request("GET", "/open/first", "") + request("GET", "/short/second", ""));
      assertThat(client.read().status()).isEqualTo(200);
      assertThat(client.read().reason()).isEqualTo("deadline");
    }
    assertThat(pathsSeen()).containsExactly("/open/first");
  }

  private long counter(String daemon, String name) {
    return fleet.metrics.get(daemon).counter(name).getCount();
  }

  private void awaitAnswerOf(TrafficDaemon daemon, String path) throws Exception {
    Response response = RawClient.once(daemon.edgeAddress(), request("GET", path, ""));
    assertThat(response.status()).isEqualTo(200);
  }

  private java.util.List<String> pathsSeen() {
    return upstream.requestHeads.stream().map(head -> head.split(" ", 3)[1]).toList();
  }

  /** Keeps the event loop of a daemon from running for at least {@link #STALL_MILLIS}. */
  private final class Stall {

    private final CountDownLatch release = new CountDownLatch(1);

    Stall(String daemon) throws InterruptedException {
      CountDownLatch begun = new CountDownLatch(1);
      fleet
          .loops
          .get(daemon)
          .execute(
              () -> {
                begun.countDown();
                try {
                  release.await();
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              });
      begun.await();
    }

    void end() throws InterruptedException {
      TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
      release.countDown();
    }
  }
}
