package org.cornelspoke.daemon.relay;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.dissemination.DaemonStatus;
import org.cornelspoke.daemon.controlclient.ControlClient;
import org.cornelspoke.daemon.controlclient.ShareListener;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.CallId;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.KeyId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.claim.ClaimKey;
import org.cornelspoke.state.claim.ClaimOutcome;
import org.cornelspoke.state.claim.StoredResponse;
import org.cornelspoke.state.config.Account;
import org.cornelspoke.state.config.ChangeRequest;
import org.cornelspoke.state.config.ChangeResult;
import org.cornelspoke.state.config.ClientKey;
import org.cornelspoke.state.config.ConfigChange;
import org.cornelspoke.state.config.Operator;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.registry.TargetState;
import org.cornelspoke.transport.link.FrameConnection;
import org.cornelspoke.transport.link.FrameListener;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests relays and control clients over real sockets on free ports, with an in-memory log. */
class RelayAndClientTest {

  private static final ServiceName SERVICE = new ServiceName("pasok");
  private static final OperatorId OPERATOR = new OperatorId("admin");
  private static final String HASH = "a".repeat(64);
  private static final long FRESHNESS_BOUND_MILLIS = 1_200;
  private static final long LEASE_MILLIS = 2_000;
  private static final long WAIT_SECONDS = 30;

  private final Eventloop control = Eventloop.create();
  private final Eventloop traffic = Eventloop.create();
  private final List<Thread> threads = new ArrayList<>();
  private final FakeGroup group = new FakeGroup(control, 2);
  private final List<RelayServer> relays = new ArrayList<>();
  private final List<ControlBackend> backends = new ArrayList<>();
  private final List<ControlClient> clients = new ArrayList<>();
  private final RecordingShareEndpoint shareEndpoint = new RecordingShareEndpoint();
  private final ConcurrentLinkedQueue<String> messagesToDaemons = new ConcurrentLinkedQueue<>();
  private int sequence;

  @BeforeEach
  void start() throws Exception {
    for (Eventloop loop : List.of(control, traffic)) {
      loop.keepAlive(true);
      Thread thread = new Thread(loop);
      thread.start();
      threads.add(thread);
    }
    onControl(
        () -> {
          Map<VmId, InetSocketAddress> peers = new HashMap<>();
          // Only the second relay sends reports and queries, so it must know the first one.
          for (FakeGroup.Member member : group.members) {
            RelayServer relay = relay(member, Map.copyOf(peers));
            relay.start();
            relays.add(relay);
            backends.add(new ControlBackend(control, member, member.machine, relay));
            peers.put(member.vm, relay.boundAddress());
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
    traffic.keepAlive(false);
    control.execute(() -> {});
    traffic.execute(() -> {});
    for (Thread thread : threads) {
      thread.join();
    }
  }

  /** Changes, targets and claims of one daemon must become visible to another daemon. */
  @Test
  void twoDaemonsShareConfigurationTargetsAndClaims() throws Exception {
    bootstrap();
    ControlClient first = client("d1", relays.get(0));
    ControlClient second = client("d2", relays.get(0));
    submit(new ConfigChange.CreateAccount(new Account(new AccountId("a"), 5, 5, 1)));
    submit(new ConfigChange.GiveKey(new ClientKey(new KeyId("k"), new AccountId("a"), HASH)));
    await(() -> first.current().accountOfKey(HASH).isPresent() && isFresh(first));
    await(() -> second.current().accountOfKey(HASH).isPresent() && isFresh(second));
    assertThat(first.current().signingSecret()).isNotEqualTo(Optional.empty());
    submit(new ConfigChange.WithdrawKey(new KeyId("k")));
    await(() -> second.current().accountOfKey(HASH).isEmpty());

    Target target = target("t1", "d1", TargetState.UP);
    first.publish(target);
    await(() -> second.current().targets(SERVICE).equals(List.of(target)));
    first.publish(target("t1", "d1", TargetState.DRAINING));
    await(() -> second.current().targets(SERVICE).get(0).state() == TargetState.DRAINING);
    first.withdraw(target.id());
    await(() -> second.current().targets(SERVICE).isEmpty());

    ClaimKey key = new ClaimKey(new AccountId("a"), "key");
    CallId attempt = new CallId("1".repeat(32));
    CallId other = new CallId("2".repeat(32));
    assertThat(claim(first, key, attempt)).isInstanceOf(ClaimOutcome.Granted.class);
    assertThat(claim(second, key, other)).isInstanceOf(ClaimOutcome.Running.class);
    second.release(key, other);
    second.complete(key, other, Optional.empty());
    assertThat(claim(second, key, other)).isInstanceOf(ClaimOutcome.Running.class);
    first.complete(key, attempt, Optional.of(new StoredResponse(201, Map.of(), new byte[] {1, 2})));
    await(() -> claim(second, key, other) instanceof ClaimOutcome.Completed);
  }

  /** Messages about rate shares must reach their recipient and no other daemon. */
  @Test
  void shareMessagesReachTheirRecipients() throws Exception {
    ControlClient first = client("d1", relays.get(0));
    client("d2", relays.get(0));
    await(() -> shareEndpoint.events.containsAll(Set.of("attached d1", "attached d2")));
    assertThat(onControl(() -> first.sendShareMessage(bytes("report")))).isTrue();
    await(() -> shareEndpoint.events.contains("d1: report"));
    assertThat(onControl(() -> relays.get(0).sendShareMessage(new DaemonId("d2"), bytes("grant"))))
        .isTrue();
    await(() -> messagesToDaemons.contains("d2: grant"));
    assertThat(onControl(() -> relays.get(0).sendShareMessage(new DaemonId("d9"), bytes("grant"))))
        .isFalse();
    assertThat(onControl(() -> relays.get(1).sendShareMessageToOwner(vm(0), bytes("up")))).isTrue();
    await(() -> shareEndpoint.events.contains("relay control-2: up"));
    onControl(
        () -> {
          relays.get(0).sendShareReplyToRelay(vm(1), bytes("down"));
          return null;
        });
    await(() -> shareEndpoint.events.contains("owner control-1: down"));
    onControl(
        () -> {
          first.stop();
          return null;
        });
    await(() -> shareEndpoint.events.contains("detached d1"));
    onControl(
        () -> {
          relays.get(0).stop();
          return null;
        });
    await(() -> shareEndpoint.events.contains("lost control-1"));
  }

  /** A daemon must leave a relay that can't prove that it is current. */
  @Test
  void daemonMovesFromARelayWithoutQuorum() throws Exception {
    bootstrap();
    ControlClient client = client("d1", relays.get(0), relays.get(1));
    await(() -> isFresh(client) && attachedTo(0).contains("d1"));
    onControl(
        () -> {
          group.members.get(0).isolated = true;
          return null;
        });
    await(() -> attachedTo(1).contains("d1"));
    Revision before = client.current().revision();
    ChangeResult result =
        promise(() -> backends.get(1).submit(request(createAccount("b")), deadlineNanos()));
    assertThat(result).isEqualTo(new ChangeResult.Accepted(before.next()));
    await(() -> client.current().revision().equals(before.next()) && isFresh(client));
  }

  /** A change must not be applied twice if its reply is lost. */
  @Test
  void changeWithALostReplyIsAppliedOnce() throws Exception {
    bootstrap();
    Revision before = group.members.get(0).machine.config().revision();
    group.loseReplies(2);
    assertThat(submit(createAccount("a"))).isEqualTo(new ChangeResult.Accepted(before.next()));
    ConfigReadResult reading = promise(() -> backends.get(0).readConfig(deadlineNanos()));
    assertThat(reading.revision()).isEqualTo(before.next());
    assertThat(reading.activePreset().value()).isEqualTo("ordinary");
  }

  /** A failure must report "not committed" exactly if the change can't be committed. */
  @Test
  void failureWithoutQuorumSaysWhetherTheChangeMayBeCommitted() throws Exception {
    bootstrap();
    onControl(
        () -> {
          group.members.get(1).isolated = true;
          return null;
        });
    long firstDeadlineNanos = System.nanoTime() + 300_000_000L;
    ProposalFailedException notCommitted =
        assertThrows(
            ProposalFailedException.class,
            () ->
                promise(
                    () -> backends.get(1).submit(request(createAccount("a")), firstDeadlineNanos)));
    assertThat(notCommitted.isMaybeCommitted()).isFalse();
    assertThrows(
        ReadNotConfirmedException.class,
        () -> promise(() -> backends.get(1).readConfig(firstDeadlineNanos)));
    group.loseReplies(1_000_000);
    long secondDeadlineNanos = System.nanoTime() + 300_000_000L;
    ProposalFailedException maybeCommitted =
        assertThrows(
            ProposalFailedException.class,
            () ->
                promise(
                    () ->
                        backends.get(0).submit(request(createAccount("a")), secondDeadlineNanos)));
    assertThat(maybeCommitted.isMaybeCommitted()).isTrue();
  }

  /** Concurrent bootstraps must create one operator, and restarts must create no second secret. */
  @Test
  void concurrentBootstrapsTakeEffectOnce() throws Exception {
    Operator other = new Operator(new OperatorId("other"), HASH);
    CompletableFuture<Void> first = new CompletableFuture<>();
    CompletableFuture<Void> second = new CompletableFuture<>();
    control.execute(
        () -> {
          complete(backends.get(0).bootstrap(new Operator(OPERATOR, HASH), deadlineNanos()), first);
          complete(backends.get(1).bootstrap(other, deadlineNanos()), second);
        });
    first.get(WAIT_SECONDS, TimeUnit.SECONDS);
    second.get(WAIT_SECONDS, TimeUnit.SECONDS);
    bootstrap();
    assertThat(group.members.get(0).machine.config().revision()).isEqualTo(new Revision(3));
    assertThat(onControl(() -> backends.get(1).findOperatorByTokenHash(HASH).isPresent())).isTrue();
  }

  /** Targets of stopped daemons must be removed, and those of running daemons must stay. */
  @Test
  void targetsOfStoppedDaemonsAreRemovedAndOthersStay() throws Exception {
    ControlClient stopped = client("d1", relays.get(0));
    ControlClient running = client("d2", relays.get(1));
    stopped.publish(target("t1", "d1", TargetState.UP));
    running.publish(target("t2", "d2", TargetState.UP));
    await(() -> registered().equals(Set.of("t1", "t2")));
    onControl(
        () -> {
          stopped.stop();
          return null;
        });
    await(() -> registered().equals(Set.of("t2")));
    int logSize = group.logSize();
    Thread.sleep(LEASE_MILLIS + LEASE_MILLIS / 2);
    // The other relay's reports reach the leader, so t2 is not removed and registered repeatedly.
    assertThat(group.logSize()).isEqualTo(logSize);
    assertThat(registered()).containsExactly("t2");
  }

  /** If a relay does not reply, the listing must name it, because its daemons are missing. */
  @Test
  void listingHasDaemonsOfAllRelaysAndNamesMissingRelays() throws Exception {
    ControlClient first = client("d1", relays.get(0));
    ControlClient second = client("d2", relays.get(1));
    await(() -> isFresh(first) && isFresh(second));
    DaemonListing all = promise(() -> backends.get(1).daemons(20_000));
    assertThat(all.missingRelays()).isEmpty();
    assertThat(all.daemons().stream().map(d -> d.daemon() + "@" + d.relay()).toList())
        .containsExactly("d1@control-1", "d2@control-2");
    onControl(
        () -> {
          relays.get(0).stop();
          return null;
        });
    DaemonListing partial = promise(() -> backends.get(1).daemons(500));
    assertThat(partial.missingRelays()).containsExactly(vm(0));
    assertThat(partial.daemons().stream().map(DaemonStatus::daemon).toList())
        .contains(new DaemonId("d2"));
  }

  /** A malformed frame must close its own connection and have no other effect. */
  @Test
  void malformedFrameClosesOnlyItsConnection() throws Exception {
    bootstrap();
    ControlClient client = client("d1", relays.get(0));
    await(() -> isFresh(client));
    for (byte[] frame : List.of(new byte[] {1}, new byte[200], bytes("GET / HTTP/1.1"))) {
      CompletableFuture<Void> closed = new CompletableFuture<>();
      control.execute(() -> sendRaw(frame, closed));
      closed.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }
    submit(createAccount("a"));
    await(() -> client.current().account(new AccountId("a")).isPresent());
    assertThat(attachedTo(0)).containsExactly("d1");
  }

  private void sendRaw(byte[] frame, CompletableFuture<Void> closed) {
    FrameConnection.connect(control, relays.get(0).boundAddress(), Duration.ofSeconds(5))
        .whenResult(
            connection -> {
              connection.start(
                  new FrameListener() {
                    @Override
                    public void onFrame(byte[] content) {}

                    @Override
                    public void onClosed(Exception cause) {
                      closed.complete(null);
                    }
                  });
              connection.send(frame);
            });
  }

  private RelayServer relay(FakeGroup.Member member, Map<VmId, InetSocketAddress> peers) {
    return RelayServer.builder()
        .withReactor(control)
        .withVm(member.vm)
        .withRelayAddress(new Endpoint("127.0.0.1", 0).toSocketAddress())
        .withPeers(peers)
        .withLog(member)
        .withMachine(member.machine)
        .withShareEndpoint(shareEndpoint)
        .withTargetLeaseMillis(LEASE_MILLIS)
        .build();
  }

  private ControlClient client(String daemon, RelayServer... attachTo) throws Exception {
    return onControl(
        () -> {
          ControlClient client =
              ControlClient.builder()
                  .withReactor(control)
                  .withDaemon(new DaemonId(daemon))
                  .withDataCentre(new DataCentreId("pampanga"))
                  .withRelays(List.of(attachTo).stream().map(RelayServer::boundAddress).toList())
                  .withServices(Set.of(SERVICE))
                  .withFreshnessBoundMillis(FRESHNESS_BOUND_MILLIS)
                  .withShareListener(new RecordingShareListener(daemon))
                  .build();
          clients.add(client);
          client.start();
          return client;
        });
  }

  private void bootstrap() throws Exception {
    promise(() -> backends.get(0).bootstrap(new Operator(OPERATOR, HASH), deadlineNanos()));
  }

  private ChangeResult submit(ConfigChange change) throws Exception {
    return promise(() -> backends.get(0).submit(request(change), deadlineNanos()));
  }

  private ChangeRequest request(ConfigChange change) {
    sequence++;
    return new ChangeRequest(
        new RequestId("r" + sequence), OPERATOR, Optional.empty(), sequence, change);
  }

  private static ConfigChange createAccount(String id) {
    return new ConfigChange.CreateAccount(new Account(new AccountId(id), 5, 5, 1));
  }

  private ClaimOutcome claim(ControlClient client, ClaimKey key, CallId attempt) throws Exception {
    CompletableFuture<ClaimOutcome> outcome = new CompletableFuture<>();
    traffic.execute(() -> client.claim(key, attempt, "f", deadlineNanos(), outcome::complete));
    return outcome.get(WAIT_SECONDS, TimeUnit.SECONDS);
  }

  private Set<String> attachedTo(int relay) throws Exception {
    return Set.copyOf(
        onControl(
            () ->
                relays.get(relay).attachedDaemons().stream()
                    .map(status -> status.daemon().value())
                    .toList()));
  }

  private Set<String> registered() throws Exception {
    return Set.copyOf(
        onControl(() -> backends.get(0).targets().stream().map(t -> t.id().value()).toList()));
  }

  private static Target target(String id, String daemon, TargetState state) {
    return new Target(
        new TargetId(id),
        SERVICE,
        new DaemonId(daemon),
        new DataCentreId("pampanga"),
        new Endpoint("127.0.0.1", 8_081),
        300,
        state);
  }

  private VmId vm(int index) {
    return group.members.get(index).vm;
  }

  private static boolean isFresh(ControlClient client) {
    return client.isFresh(System.nanoTime());
  }

  private static long deadlineNanos() {
    return System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static void await(Callable<Boolean> condition) throws Exception {
    long deadlineNanos = deadlineNanos();
    while (!condition.call()) {
      assertThat(System.nanoTime() - deadlineNanos < 0).isTrue();
      Thread.sleep(10);
    }
  }

  private <T> T promise(Callable<Promise<T>> call) throws Exception {
    CompletableFuture<T> future = new CompletableFuture<>();
    onControl(
        () -> {
          complete(call.call(), future);
          return null;
        });
    try {
      return future.get(WAIT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException e) {
      throw (Exception) e.getCause();
    }
  }

  private static <T> void complete(Promise<T> promise, CompletableFuture<T> future) {
    promise.whenResult(future::complete).whenException(future::completeExceptionally);
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

  /** Records the messages that a daemon receives. */
  private final class RecordingShareListener implements ShareListener {

    private final String daemon;

    RecordingShareListener(String daemon) {
      this.daemon = daemon;
    }

    @Override
    public void onAttached() {}

    @Override
    public void onDetached() {}

    @Override
    public void onMessage(byte[] message) {
      messagesToDaemons.add(daemon + ": " + new String(message, StandardCharsets.UTF_8));
    }
  }
}
