package org.cornelspoke.daemon.relay;

import static com.google.common.truth.Truth.assertThat;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the connections from relay to relay over sockets on free ports. */
class RelayPeerLinkTest {

  private static final long WAIT_SECONDS = 30;

  private final Eventloop control = Eventloop.create();
  private final Thread thread = new Thread(control);
  private final FakeGroup group = new FakeGroup(control, 2);
  private final RecordingShareEndpoint events = new RecordingShareEndpoint();
  private final List<RelayServer> relays = new ArrayList<>();

  @BeforeEach
  void start() {
    control.keepAlive(true);
    thread.start();
  }

  @AfterEach
  void stop() throws Exception {
    onControl(
        () -> {
          relays.forEach(RelayServer::stop);
          return null;
        });
    control.keepAlive(false);
    control.execute(() -> {});
    thread.join();
  }

  /** Guards against messages that wait in a connection whose other end is gone. */
  @Test
  void connectionToASilentRelayIsReplaced() throws Exception {
    VmId silent = new VmId("silent");
    try (SilentPeer peer = new SilentPeer()) {
      RelayServer relay = startRelay(0, Map.of(silent, peer.address()));
      send(relay, silent);
      await(() -> events.events.contains("lost silent"));
      send(relay, silent);
      await(() -> peer.connections.size() == 2);
    }
  }

  @Test
  void connectionToAnIdleRelayIsKept() throws Exception {
    RelayServer idle = startRelay(0, Map.of());
    VmId vm = group.members.get(0).vm;
    RelayServer relay = startRelay(1, Map.of(vm, idle.boundAddress()));
    send(relay, vm);
    TimeUnit.SECONDS.sleep(6);
    assertThat(events.events).doesNotContain("lost " + vm);
  }

  private RelayServer startRelay(int number, Map<VmId, InetSocketAddress> peers) throws Exception {
    return onControl(
        () -> {
          FakeGroup.Member member = group.members.get(number);
          RelayServer relay =
              RelayServer.builder()
                  .withReactor(control)
                  .withVm(member.vm)
                  .withRelayAddress(new Endpoint("127.0.0.1", 0).toSocketAddress())
                  .withPeers(peers)
                  .withLog(member)
                  .withMachine(member.machine)
                  .withShareEndpoint(events)
                  .build();
          relay.start();
          relays.add(relay);
          return relay;
        });
  }

  private void send(RelayServer relay, VmId peer) throws Exception {
    assertThat(onControl(() -> relay.sendShareMessageToOwner(peer, new byte[] {1}))).isTrue();
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

  /** Accepts connections and neither reads nor writes, like a VM that is cut off. */
  private static final class SilentPeer implements AutoCloseable {

    final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    SilentPeer() throws IOException {
      Thread acceptor = new Thread(this::acceptAll, "silent-peer");
      acceptor.setDaemon(true);
      acceptor.start();
    }

    InetSocketAddress address() {
      return new Endpoint("127.0.0.1", server.getLocalPort()).toSocketAddress();
    }

    @Override
    public void close() throws IOException {
      server.close();
      for (Socket connection : connections) {
        connection.close();
      }
    }

    private void acceptAll() {
      try {
        while (true) {
          connections.add(server.accept());
        }
      } catch (IOException e) {
        // The peer was closed.
      }
    }
  }
}
