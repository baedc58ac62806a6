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

/** One relay and many control clients, connected over loopback. */
final class Fleet {

  private static final int DAEMON_THREADS = 2;
  private static final int TARGETS_PER_SERVICE = 20;
  private static final int SERVICES_PER_DAEMON = 8;
  private static final int LENGTH_PREFIX_BYTES = 4;
  private static final long WAIT_SECONDS = 60;

  private final LoopThread relayThread = new LoopThread("relay");
  private final List<LoopThread> daemonThreads = new ArrayList<>();
  private final List<ControlClient> clients = new ArrayList<>();
  private final ControlStateMachine machine = new ControlStateMachine();
  private final AtomicReference<Change> current = new AtomicReference<>();
  private RelayServer relay;
  private ControlBackend backend;
  private long sequence;

  /** CPU of the threads and bytes of the frames, all since the start. */
  record Counters(long relayCpuNanos, long daemonCpuNanos, long bytes) {}

  /** A change on its way to the daemons. */
  private static final class Change {

    final CountDownLatch waiting;
    final ConcurrentHistogram micros;
    volatile long submittedAtNanos;

    Change(int daemons, ConcurrentHistogram micros) {
      this.waiting = new CountDownLatch(daemons);
      this.micros = micros;
    }
  }

  Fleet(int daemons, int accounts, int keys) throws Exception {
    VmId vm = new VmId("control-1");
    InetSocketAddress address =
        relayThread.call(
            () -> {
              SingleMemberLog log = new SingleMemberLog(relayThread.loop, vm, machine);
              relay =
                  RelayServer.builder()
                      .withReactor(relayThread.loop)
                      .withVm(vm)
                      .withRelayAddress(new Endpoint("127.0.0.1", 0).toSocketAddress())
                      .withLog(log)
                      .withMachine(machine)
                      .build();
              relay.start();
              backend = new ControlBackend(relayThread.loop, log, machine, relay);
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
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
    while (!allReady(daemons)) {
      if (System.nanoTime() - deadline > 0) {
        throw new IllegalStateException("daemons are not attached and registered in time");
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

  /** Submits a change and returns once it is in force at every daemon. */
  void spread(int rate, ConcurrentHistogram micros) throws Exception {
    Change change = new Change(clients.size(), micros);
    current.set(change);
    submit(new ConfigChange.SetAccount(account(0, rate)), change);
    if (!change.waiting.await(WAIT_SECONDS, TimeUnit.SECONDS)) {
      throw new IllegalStateException("the change did not reach every daemon in time");
    }
    current.set(null);
  }

  Counters counters() throws Exception {
    long daemonCpu = 0;
    long bytes = 0;
    for (LoopThread thread : daemonThreads) {
      daemonCpu += thread.cpuNanos();
      bytes += thread.call(() -> bytesOf(thread));
    }
    return new Counters(relayThread.cpuNanos(), daemonCpu, bytes);
  }

  void stop() throws Exception {
    for (LoopThread thread : daemonThreads) {
      thread.call(
          () -> {
            clientsOf(thread).forEach(ControlClient::stop);
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
    Set<ServiceName> called =
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
                      .withServices(called)
                      .withRandom(new SplittableRandom(number))
                      .withViewListener(this::onView)
                      .build();
              client.start();
              client.publish(target(number, services));
              return client;
            }));
  }

  private boolean allReady(int daemons) throws Exception {
    boolean registered = relayThread.call(() -> machine.registry().targets().size() == daemons);
    long now = System.nanoTime();
    return registered && clients.stream().allMatch(client -> client.isFresh(now));
  }

  private void onView(FleetView view) {
    long now = System.nanoTime();
    Change change = current.get();
    if (change != null && change.waiting.getCount() > 0) {
      // Counted from the submission, so the time to acceptance is included.
      change.micros.recordValue(Math.max(0, (now - change.submittedAtNanos) / 1_000));
      change.waiting.countDown();
    }
  }

  private void submit(ConfigChange change) throws Exception {
    submit(change, null);
  }

  private void submit(ConfigChange body, Change change) throws Exception {
    sequence++;
    ChangeRequest request =
        new ChangeRequest(
            new RequestId("bench-" + sequence),
            new OperatorId("bench"),
            Optional.empty(),
            sequence,
            body);
    CompletableFuture<ChangeResult> future = new CompletableFuture<>();
    relayThread.loop.execute(
        () -> {
          if (change != null) {
            change.submittedAtNanos = System.nanoTime();
          }
          backend
              .submit(request, System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS))
              .whenResult(future::complete)
              .whenException(future::completeExceptionally);
        });
    ChangeResult result = future.get();
    if (!(result instanceof ChangeResult.Accepted)) {
      throw new IllegalStateException("not accepted: " + result);
    }
  }

  private long bytesOf(LoopThread thread) {
    long bytes = 0;
    for (ControlClient client : clientsOf(thread)) {
      bytes += client.receivedBytes() + client.sentBytes();
      bytes += LENGTH_PREFIX_BYTES * (client.receivedFrames() + client.sentFrames());
    }
    return bytes;
  }

  private List<ControlClient> clientsOf(LoopThread thread) {
    int offset = daemonThreads.indexOf(thread);
    return IntStream.range(0, clients.size())
        .filter(i -> i % DAEMON_THREADS == offset)
        .mapToObj(clients::get)
        .toList();
  }
}
