package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against crashes that are not counted, because a process ends before or while its
 * announcement arrives.
 */
class RestartedUpstreamCrashTest {

  private static final int REQUESTS = 12;

  /** Runs that the users allow after the third crash. */
  private static final int MAX_CRASHES = 3 + 3;

  private static final long RESTART_MILLIS = 150;
  private static final long LONG_LEASE_MILLIS = 60_000;

  private final TestFleet fleet = new TestFleet();
  private final AtomicInteger processes = new AtomicInteger();
  private final AtomicInteger crashes = new AtomicInteger();
  private TrafficDaemon daemon;
  private int port;
  private volatile StandInUpstream process;

  /** Behaviour while a request runs that crashes the process. */
  private interface CrashingRun {

    void run() throws Exception;
  }

  @AfterEach
  void close() throws Exception {
    TestFleet.await(() -> process != null);
    fleet.close();
    process.close();
  }

  @Test
  void processesThatCrashBeforeTheirAnnouncementAreCounted() throws Exception {
    startNamed(() -> {});
    announce(LONG_LEASE_MILLIS);
    for (int i = 0; i < REQUESTS; i++) {
      sendCrashingRequest();
    }
    assertThat(crashes.get()).isAtMost(MAX_CRASHES);
  }

  @Test
  void processesThatAreAnnouncedDuringTheirLastRequestAreCounted() throws Exception {
    startNamed(() -> announce(LONG_LEASE_MILLIS));
    announce(LONG_LEASE_MILLIS);
    for (int i = 0; i < REQUESTS; i++) {
      sendCrashingRequest();
    }
    assertThat(crashes.get()).isAtMost(MAX_CRASHES);
  }

  @Test
  void processesWhoseLeaseEndsDuringTheirLastRequestAreCounted() throws Exception {
    startNamed(() -> Thread.sleep(400));
    for (int i = 0; i < REQUESTS; i++) {
      announce(200);
      sendCrashingRequest();
    }
    assertThat(crashes.get()).isAtMost(MAX_CRASHES);
  }

  @Test
  void processThatAnnouncedItsDrainHasNotCrashed() throws Exception {
    startNamed(
        () ->
            assertThat(TestFleet.local(daemon, "/v1/drain", "{\"service\":\"svc\"}").status())
                .isEqualTo(204));
    for (int i = 0; i < REQUESTS; i++) {
      announce(LONG_LEASE_MILLIS);
      sendCrashingRequest();
    }
    assertThat(crashes.get()).isAtLeast(REQUESTS);
  }

  private void startNamed(CrashingRun run) throws IOException {
    fleet.localApi =
        registration ->
            new LocalApi(
                new NamingRegistration(registration, () -> new ProcessId("i-1", processes.get())));
    daemon = fleet.start("d0");
    startProcess(run);
  }

  private void startProcess(CrashingRun run) throws IOException {
    StandInUpstream next =
        new StandInUpstream((head, body, socket) -> serve(run, head, socket), port);
    port = next.port();
    processes.incrementAndGet();
    process = next;
  }

  private void announce(long leaseMillis) throws IOException {
    String body =
        "{\"service\":\"svc\",\"address\":\"127.0.0.1:%d\",\"slots\":10,\"leaseMillis\":%d}"
            .formatted(port, leaseMillis);
    assertThat(TestFleet.local(daemon, "/v1/announce", body).status()).isEqualTo(204);
  }

  private void sendCrashingRequest() throws IOException {
    RawClient.once(
        daemon.edgeAddress(), RawClient.request("GET", "/read/crash", "", TestFleet.KEY));
    TestFleet.await(() -> process != null);
  }

  private void serve(CrashingRun run, String head, Socket socket) throws Exception {
    if (!head.contains("/crash ")) {
      StandInUpstream.respond(socket, 200, "ok");
      return;
    }
    run.run();
    crash(run);
  }

  private synchronized void crash(CrashingRun run) throws IOException {
    if (process == null) {
      return;
    }
    crashes.incrementAndGet();
    StandInUpstream crashed = process;
    process = null;
    crashed.close();
    StandInUpstream.daemonThread(() -> restart(run));
  }

  private void restart(CrashingRun run) {
    try {
      Thread.sleep(RESTART_MILLIS);
      startProcess(run);
    } catch (IOException | InterruptedException e) {
      throw new AssertionError(e);
    }
  }
}
