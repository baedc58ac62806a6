package org.cornelspoke.bench.dissemination;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.HdrHistogram.ConcurrentHistogram;
import org.cornelspoke.daemon.controlclient.ControlClient;
import org.cornelspoke.daemon.relay.ControlBackend;
import org.cornelspoke.daemon.relay.RelayServer;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.KeyId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.config.Account;
import org.cornelspoke.state.config.ChangeRequest;
import org.cornelspoke.state.config.ChangeResult;
import org.cornelspoke.state.config.ClientKey;
import org.cornelspoke.state.config.ConfigChange;
import org.cornelspoke.state.machine.ControlStateMachine;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.registry.TargetState;
import org.cornelspoke.state.view.FleetView;

/** A relay and the control clients of many daemons, connected over loopback. */
final class Fleet {

  private static final int DAEMON_THREADS = 2;
  private static final int TARGETS_PER_SERVICE = 20;
  private static final int SERVICES_PER_DAEMON = 8;
  private static final int LENGTH_PREFIX_BYTES = 4;
  private static final long MAX_WAIT_SECONDS = 60;

  private final LoopThread relayThread = new LoopThread("relay");
  private final List<LoopThread> daemonThreads = new ArrayList<>();
  private final List<ControlClient> clients = new ArrayList<>();
  private final ControlStateMachine stateMachine = new ControlStateMachine();
  private final AtomicReference<PendingChange> pendingChange = new AtomicReference<>();
  private RelayServer relay;
  private ControlBackend backend;
  private long sequence;

  /** CPU time of the threads and bytes of all frames since the start. */
  record Counters(long relayCpuNanos, long daemonCpuNanos, long bytes) {}

  /** A change that has not yet taken effect at every daemon. */
  private static final class PendingChange {

    final CountDownLatch remainingDaemons;
    final ConcurrentHistogram latencyMicros;
    volatile long submittedAtNanos;

    PendingChange(int daemons, ConcurrentHistogram latencyMicros) {
      this.remainingDaemons = new CountDownLatch(daemons);
      this.latencyMicros = latencyMicros;
    }
  }

  Fleet(int daemons, int accounts, int keys) throws Exception {
    VmId vm = new VmId("control-1");
    InetSocketAddress address =
        relayThread.call(
            () -> {
              SingleMemberLog log = new SingleMemberLog(relayThread.loop, vm, stateMachine);
              relay =
                  RelayServer.builder()
                      .withReactor(relayThread.loop)
                      .withVm(vm)
                      .withRelayAddress(new Endpoint("127.0.0.1", 0).toSocketAddress())
                      .withLog(log)
                      .withMachine(stateMachine)
                      .build();
              relay.start();
              backend = new ControlBackend(relayThread.loop, log, stateMachine, relay);
              return relay.boundAddress();
            });
    for (int i = 0; i < accounts; i++) {
      submit(new ConfigChange.CreateAccount(account(i, 1)));
    }
    for (int i = 0; i < keys; i++) {
      submit(new ConfigChange.GiveKey(key(i, i % accounts)));
    }
    for (int i = 0; i < DAEMON_THREADS; i++) {
      daemonThreads.add(new LoopThread("daemons-" + i));
    }
    int services = Math.max(1, daemons / TARGETS_PER_SERVICE);
    for (int i = 0; i < daemons; i++) {
      addClient(i, services, address);
    }
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_SECONDS);
    while (!isReady(daemons)) {
      if (System.nanoTime() - deadlineNanos > 0) {
        throw new IllegalStateException("not every daemon attached and registered in time");
      }
      Thread.sleep(50);
    }
  }

  static Account account(int number, int rate) {
    return new Account(new AccountId("account-" + number), rate, 100, 1);
  }

  static ClientKey key(int number, int account) {
    return new ClientKey(
        new KeyId("key-" + number), new AccountId("account-" + account), "%064x".formatted(number));
  }

  static Target target(int number, int services) {
    return new Target(
        new TargetId("target-" + number),
        service(number, services),
        new DaemonId("daemon-" + number),
        new DataCentreId("zone-1"),
        new Endpoint("10.0.0.1", 8_081),
        75,
        TargetState.UP);
  }

  static ServiceName service(int number, int services) {
    return new ServiceName("service-" + number % services);
  }

  /** Submits a change and returns when it has taken effect at every daemon. */
  void applyAndAwait(int rate, ConcurrentHistogram latencyMicros) throws Exception {
    PendingChange change = new PendingChange(clients.size(), latencyMicros);
    pendingChange.set(change);
    submit(new ConfigChange.SetAccount(account(0, rate)), change);
    if (!change.remainingDaemons.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS)) {
      throw new IllegalStateException("the change did not reach every daemon in time");
    }
    pendingChange.set(null);
  }

  Counters counters() throws Exception {
    long daemonCpuNanos = 0;
    long bytes = 0;
    for (LoopThread thread : daemonThreads) {
      daemonCpuNanos += thread.cpuNanos();
      bytes += thread.call(() -> transferredBytes(thread));
    }
    return new Counters(relayThread.cpuNanos(), daemonCpuNanos, bytes);
  }

  void stop() throws Exception {
    for (LoopThread thread : daemonThreads) {
      thread.call(
          () -> {
            clientsOn(thread).forEach(ControlClient::stop);
            return null;
          });
      thread.stop();
    }
    relayThread.call(
        () -> {
          relay.stop();
          return null;
        });
    relayThread.stop();
  }

  private void addClient(int number, int services, InetSocketAddress address) throws Exception {
    LoopThread thread = daemonThreads.get(number % DAEMON_THREADS);
    Set<ServiceName> calledServices =
        IntStream.range(0, SERVICES_PER_DAEMON)
            .mapToObj(i -> service(number + i, services))
            .collect(Collectors.toSet());
    clients.add(
        thread.call(
            () -> {
              ControlClient client =
                  ControlClient.builder()
                      .withReactor(thread.loop)
                      .withDaemon(new DaemonId("daemon-" + number))
                      .withDataCentre(new DataCentreId("zone-1"))
                      .withRelays(List.of(address))
                      .withServices(calledServices)
                      .withRandom(new SplittableRandom(number))
                      .withViewListener(this::onView)
                      .build();
              client.start();
              client.publish(target(number, services));
              return client;
            }));
  }

  private boolean isReady(int daemons) throws Exception {
    boolean registered =
        relayThread.call(() -> stateMachine.registry().targets().size() == daemons);
    long now = System.nanoTime();
    return registered && clients.stream().allMatch(client -> client.isFresh(now));
  }

  private void onView(FleetView view) {
    long now = System.nanoTime();
    PendingChange change = pendingChange.get();
    if (change != null && change.remainingDaemons.getCount() > 0) {
      // The latency starts at the submission and so includes the time until acceptance.
      change.latencyMicros.recordValue(Math.max(0, (now - change.submittedAtNanos) / 1_000));
      change.remainingDaemons.countDown();
    }
  }

  private void submit(ConfigChange change) throws Exception {
    submit(change, null);
  }

  private void submit(ConfigChange configChange, PendingChange change) throws Exception {
    sequence++;
    ChangeRequest request =
        new ChangeRequest(
            new RequestId("bench-" + sequence),
            new OperatorId("bench"),
            Optional.empty(),
            sequence,
            configChange);
    CompletableFuture<ChangeResult> future = new CompletableFuture<>();
    relayThread.loop.execute(
        () -> {
          if (change != null) {
            change.submittedAtNanos = System.nanoTime();
          }
          backend
              .submit(request, System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_SECONDS))
              .whenResult(future::complete)
              .whenException(future::completeExceptionally);
        });
    ChangeResult result = future.get();
    if (!(result instanceof ChangeResult.Accepted)) {
      throw new IllegalStateException("change was not accepted: " + result);
    }
  }

  private long transferredBytes(LoopThread thread) {
    long bytes = 0;
    for (ControlClient client : clientsOn(thread)) {
      bytes += client.receivedBytes() + client.sentBytes();
      bytes += LENGTH_PREFIX_BYTES * (client.receivedFrames() + client.sentFrames());
    }
    return bytes;
  }

  private List<ControlClient> clientsOn(LoopThread thread) {
    int offset = daemonThreads.indexOf(thread);
    return IntStream.range(0, clients.size())
        .filter(i -> i % DAEMON_THREADS == offset)
        .mapToObj(clients::get)
        .toList();
  }
}
