package org.cornelspoke.daemon.relay;

import static com.google.common.truth.Truth.assertThat;

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.daemon.controlclient.ControlClient;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.state.quarantine.CrashReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that crash reports reach all daemons, with two relays over sockets on free ports. */
class QuarantineRelayTest {

  private static final long WAIT_SECONDS = 30;

  private final Eventloop control = Eventloop.create();
  private final Thread thread = new Thread(control);
  private final FakeGroup group = new FakeGroup(control, 2);
  private final List<RelayServer> relays = new ArrayList<>();
  private final List<ControlClient> clients = new ArrayList<>();

  @BeforeEach
  void start() throws Exception {
    control.keepAlive(true);
    thread.start();
    onControl(
        () -> {
          for (FakeGroup.Member member : group.members) {
            RelayServer relay =
                RelayServer.builder()
                    .withReactor(control)
                    .withVm(member.vm)
                    .withRelayAddress(new Endpoint("127.0.0.1", 0).toSocketAddress())
                    .withLog(member)
                    .withMachine(member.machine)
                    .build();
            relay.start();
            relays.add(relay);
          }
          return null;
        });
  }

  @AfterEach
  void stop() throws Exception {
    onControl(
        () -> {
          clients.forEach(ControlClient::stop);
          relays.forEach(RelayServer::stop);
          return null;
        });
    control.keepAlive(false);
    control.execute(() -> {});
    thread.join();
  }

  /** A request must be refused everywhere if each of its crashes was seen by another daemon. */
  @Test
  void crashesSeenByDifferentDaemonsAddUp() throws Exception {
    announceRelays();
    ControlClient first = client("d1", 0);
    ControlClient second = client("d2", 1);
    first.reportCrash(crash("p1", 'a', 'b'));
    await(() -> second.quarantine().size() == 2);
    second.reportCrash(crash("p2", 'a', 'c'));
    await(() -> refuses(first, 'a') && refuses(second, 'a'));
    assertThat(refuses(first, 'b')).isFalse();
    ControlClient joined = client("d3", 0);
    await(() -> refuses(joined, 'a'));
    second.reportResponse(fingerprint('a'));
    await(() -> !refuses(first, 'a') && !refuses(joined, 'a'));
  }

  /** A crash must not be forgotten if the control group has no leader when it is reported. */
  @Test
  void crashReportIsSentAgainUntilItIsRecorded() throws Exception {
    announceRelays();
    ControlClient client = client("d1", 0);
    await(() -> client.isFresh(System.nanoTime()));
    isolateGroup(true);
    client.reportCrash(crash("p1", 'a'));
    client.reportCrash(crash("p2", 'a'));
    await(() -> onControl(() -> relays.get(0).attachedDaemons().isEmpty()));
    isolateGroup(false);
    await(() -> refuses(client, 'a'));
  }

  /** A relay of an earlier version closes the connection when it receives an unknown message. */
  @Test
  void relayThatAcceptsNoCrashReportsGetsNone() throws Exception {
    ControlClient client = client("d1", 0);
    await(() -> client.isFresh(System.nanoTime()));
    int logSize = group.logSize();
    client.reportCrash(crash("p1", 'a'));
    TimeUnit.SECONDS.sleep(2);
    assertThat(group.logSize()).isEqualTo(logSize);
    assertThat(onControl(() -> relays.get(0).attachedDaemons())).hasSize(1);
    announceRelays();
    await(() -> client.quarantine().size() == 1);
  }

  private void announceRelays() throws Exception {
    onControl(
        () -> {
          for (RelayServer relay : relays) {
            int port = relay.boundAddress().getPort();
            relay.setPeers(Map.of(), new Endpoint("127.0.0.1", port));
          }
          return null;
        });
  }

  private void isolateGroup(boolean isolated) throws Exception {
    onControl(
        () -> {
          group.members.forEach(member -> member.isolated = isolated);
          return null;
        });
  }

  private ControlClient client(String daemon, int relay) throws Exception {
    return onControl(
        () -> {
          ControlClient client =
              ControlClient.builder()
                  .withReactor(control)
                  .withDaemon(new DaemonId(daemon))
                  .withDataCentre(new DataCentreId("pampanga"))
                  .withRelays(List.of(relays.get(relay).boundAddress()))
                  .withFreshnessBoundMillis(1_200)
                  .build();
          clients.add(client);
          client.start();
          return client;
        });
  }

  private static CrashReport crash(String process, char... digits) {
    List<CrashReport.RunningRequest> running = new ArrayList<>();
    for (char digit : digits) {
      running.add(
          new CrashReport.RunningRequest(
              fingerprint(digit), digit, "GET", "/" + digit, new AccountId("a")));
    }
    return new CrashReport(process, new ServiceName("pasok"), new DaemonId("d"), running);
  }

  private static RequestFingerprint fingerprint(char digit) {
    return new RequestFingerprint(String.valueOf(digit).repeat(32));
  }

  private static boolean refuses(ControlClient client, char digit) {
    return client.quarantine().refuses(digit, () -> fingerprint(digit), System.nanoTime());
  }

  private static void await(Callable<Boolean> condition) throws Exception {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
    while (!condition.call()) {
      assertThat(System.nanoTime() - deadlineNanos < 0).isTrue();
      Thread.sleep(10);
    }
  }

  private <T> T onControl(Callable<T> call) throws Exception {
    CompletableFuture<T> future = new CompletableFuture<>();
    control.execute(
        () -> {
          try {
            future.complete(call.call());
          } catch (Exception e) {
            future.completeExceptionally(e);
          }
        });
    return future.get(WAIT_SECONDS, TimeUnit.SECONDS);
  }
}
