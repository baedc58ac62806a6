package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that crash one upstream after another. */
class CrashingRequestTest {

  private static final int UPSTREAMS = 4;
  private static final int REQUESTS = 12;

  /** Runs that the users allow after the third crash. */
  private static final int MAX_CRASHES = 3 + 3;

  private final TestFleet fleet = new TestFleet();
  private final List<CrashingUpstream> upstreams = new ArrayList<>();
  private final AtomicInteger crashes = new AtomicInteger();

  @AfterEach
  void close() throws Exception {
    fleet.close();
    for (CrashingUpstream upstream : upstreams) {
      upstream.close();
    }
  }

  @Test
  void requestThatCrashesItsUpstreamsStopsReachingThem() throws Exception {
    startUpstreams();
    for (int i = 0; i < REQUESTS; i++) {
      send(upstreams.get(i % UPSTREAMS), "GET", "/read/crash", "");
    }
    assertThat(crashes.get()).isAtMost(MAX_CRASHES);
    assertThat(send(upstreams.get(0), "GET", "/read/other", "").status()).isEqualTo(200);
  }

  @Test
  void requestThatMayNotBeRepeatedStopsReachingItsUpstreams() throws Exception {
    startUpstreams();
    for (int i = 0; i < REQUESTS; i++) {
      send(upstreams.get(i % UPSTREAMS), "POST", "/fees/crash", "the same body");
    }
    assertThat(crashes.get()).isAtMost(MAX_CRASHES);
    assertThat(send(upstreams.get(0), "POST", "/fees/crash", "another body").status())
        .isNotEqualTo(503);
  }

  private void startUpstreams() throws IOException {
    for (int i = 0; i < UPSTREAMS; i++) {
      CrashingUpstream upstream = new CrashingUpstream(fleet.start("d" + i));
      upstreams.add(upstream);
      upstream.start();
    }
    for (CrashingUpstream upstream : upstreams) {
      fleet.awaitRoute(upstream.daemon, "/open/x");
    }
  }

  /** Sends a request, and waits until all upstreams run and are reachable again. */
  private RawClient.Response send(CrashingUpstream edge, String method, String path, String body)
      throws IOException {
    RawClient.Response response =
        RawClient.once(
            edge.daemon.edgeAddress(), RawClient.request(method, path, body, TestFleet.KEY));
    for (CrashingUpstream upstream : upstreams) {
      TestFleet.await(upstream::isRunning);
      fleet.awaitRoute(upstream.daemon, "/open/x");
    }
    return response;
  }

  /** An upstream that ends its process when it is told to and is started again. */
  private final class CrashingUpstream {

    final TrafficDaemon daemon;
    private volatile StandInUpstream process;

    CrashingUpstream(TrafficDaemon daemon) {
      this.daemon = daemon;
    }

    void start() throws IOException {
      StandInUpstream next = new StandInUpstream(this::serve);
      TestFleet.announce(daemon, "svc", next, 10);
      process = next;
    }

    boolean isRunning() {
      return process != null;
    }

    void close() throws IOException {
      TestFleet.await(this::isRunning);
      process.close();
    }

    private void serve(String head, byte[] body, Socket socket) throws IOException {
      if (head.contains("/crash ") && !new String(body, ISO_8859_1).equals("another body")) {
        crash();
      } else {
        StandInUpstream.respond(socket, 200, "ok");
      }
    }

    private synchronized void crash() throws IOException {
      if (process == null) {
        return;
      }
      crashes.incrementAndGet();
      StandInUpstream crashed = process;
      process = null;
      crashed.close();
      StandInUpstream.daemonThread(this::restart);
    }

    private void restart() {
      try {
        start();
      } catch (IOException e) {
        throw new AssertionError(e);
      }
    }
  }
}
