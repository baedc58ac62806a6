package org.cornelspoke.coordination.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;
import java.util.function.LongConsumer;
import org.apache.commons.math3.random.RandomGenerator;
import org.cornelspoke.coordination.consensus.RaftSettings;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.state.config.Account;

/**
 * Simulates a hundred daemons with ninety accounts, five control VMs and the clients. Each control
 * VM has one thread, which spends time on every frame and message and also handles the heartbeats
 * of the group.
 */
final class SizedShareFleet {

  static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  static final int DAEMONS = 100;
  static final int VMS = 5;
  static final int ACCOUNTS = 90;

  /** Rate of an account in requests per second; its burst equals one second of it. */
  static final double RATE = 16;

  /** Load of an account within its rate, as a fraction of the rate. */
  private static final double LOAD_FRACTION = 0.6;

  /** Load of the account above its rate, as a multiple of the rate. */
  private static final double EXCESS_FACTOR = 10;

  /** Number of immediate retries by a refused client of the account above its rate. */
  private static final int IMMEDIATE_RETRIES = 3;

  /** Cost of wake-up, system calls and copying for a frame of some hundred bytes. */
  private static final long FRAME_NANOS = TimeUnit.MICROSECONDS.toNanos(100);

  /** Cost of decoding a message and applying it to the account. */
  private static final long MESSAGE_NANOS = TimeUnit.MICROSECONDS.toNanos(30);

  /** Attempts of a client that returns when it is told to. */
  private static final int MAX_ATTEMPTS = 3;

  private static final long LINK_NANOS = MILLI;
  private static final long TICK_NANOS = 50 * MILLI;
  private static final long WAIT_NANOS = 200 * MILLI;
  private static final long DAEMON_BATCH_NANOS = 20 * MILLI;
  private static final long RELAY_BATCH_NANOS = 10 * MILLI;
  private static final RaftSettings RAFT = RaftSettings.DEFAULT;
  private static final ShareTimes TIMES =
      new ShareTimes(3_500 * MILLI, 300 * MILLI, 1_500 * MILLI, 4 * SECOND)
          .withDaemonLeaseNanos(2_000 * MILLI)
          .withMaxWaitNanos(WAIT_NANOS);

  final SimulatedNetwork network;
  private final RandomGenerator random;
  private final boolean batched;
  private final double rate;
  private int attempts = 1;
  private final ShareOwner owner;
  private final List<Vm> vms = new ArrayList<>();
  private final List<Daemon> daemons = new ArrayList<>();
  private final List<AccountId> accounts = new ArrayList<>();
  private long measuredFromNanos;
  private long maxHeartbeatGapNanos;
  private int offered;
  private int refused;
  private int messages;

  /** Creates a fleet; without batching, each message is a frame and is handled as it arrives. */
  SizedShareFleet(RandomGenerator random, boolean batched) {
    this(random, batched, RATE, daemon -> daemon % VMS);
  }

  /**
   * Creates a fleet.
   *
   * @param rate rate of each account in requests per second
   * @param placement index of the control VM to which the daemon with a given index is attached
   */
  SizedShareFleet(
      RandomGenerator random, boolean batched, double rate, IntUnaryOperator placement) {
    this.random = random;
    this.batched = batched;
    this.rate = rate;
    network = new SimulatedNetwork(random);
    owner =
        new ShareOwner(TIMES, (relay, message) -> vms.get(0).reply(relay, message), -SECOND * 60);
    owner.confirmLeadership(0);
    List<Account> configured = new ArrayList<>();
    for (int i = 0; i < ACCOUNTS; i++) {
      accounts.add(new AccountId("account-" + i));
      configured.add(new Account(accounts.get(i), rate, rate, 1));
    }
    owner.setAccounts(configured, 0);
    for (int i = 0; i < VMS; i++) {
      vms.add(new Vm(i));
    }
    for (int i = 0; i < DAEMONS; i++) {
      daemons.add(new Daemon(i, vms.get(placement.applyAsInt(i))));
    }
    heartbeat();
    tick();
  }

  /** Starts the clients. Every account is within its rate, except the first if requested. */
  void start(boolean firstAboveItsRate) {
    for (int i = 0; i < ACCOUNTS; i++) {
      boolean within = i > 0 || !firstAboveItsRate;
      arrive(accounts.get(i), rate * (within ? LOAD_FRACTION : EXCESS_FACTOR), within);
    }
  }

  /** Lets refused clients of accounts within their rates return as they are told. */
  void returnRefusedClients() {
    attempts = MAX_ATTEMPTS;
  }

  /** Freezes a control VM until the end; its daemons move to others as the function says. */
  void freeze(int vm, long detectionNanos, IntUnaryOperator newPlacement) {
    vms.get(vm).frozen = true;
    for (Daemon daemon : daemons) {
      if (daemon.vm == vms.get(vm)) {
        Vm newVm = vms.get(newPlacement.applyAsInt(daemon.index));
        network.after(detectionNanos, () -> daemon.moveTo(newVm));
      }
    }
  }

  /** Runs until the end and measures from the given time on. */
  void run(long measuredFrom, long endNanos) {
    network.runUntil(measuredFrom);
    measuredFromNanos = measuredFrom;
    offered = 0;
    refused = 0;
    messages = 0;
    vms.forEach(vm -> vm.busyNanos = 0);
    network.runUntil(endNanos);
    vms.forEach(Vm::recordHeartbeatGap);
  }

  /** Returns the refused fraction of the requests of accounts within their rates. */
  double refusedFraction() {
    return (double) refused / offered;
  }

  /** Returns the longest time without a heartbeat at a follower since the start. */
  long maxHeartbeatGapNanos() {
    return maxHeartbeatGapNanos;
  }

  /** Returns the fraction of time for which the busiest control thread was busy. */
  double maxBusyFraction() {
    long measured = network.nowNanos() - measuredFromNanos;
    return (double) vms.stream().mapToLong(vm -> vm.busyNanos).max().orElseThrow() / measured;
  }

  /** Returns the rate of messages that reached control VMs. */
  double messagesPerSecond() {
    return messages * 1e9 / (network.nowNanos() - measuredFromNanos);
  }

  private void arrive(AccountId account, double perSecond, boolean within) {
    if (within) {
      requestAndReturn(account, attempts);
    } else {
      requestWithRetries(daemons.get(random.nextInt(DAEMONS)), account, IMMEDIATE_RETRIES);
    }
    network.after(
        (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND),
        () -> arrive(account, perSecond, within));
  }

  /** Sends a request to any daemon, and again when the caller is told to return. */
  private void requestAndReturn(AccountId account, int remainingAttempts) {
    offered++;
    daemons
        .get(random.nextInt(DAEMONS))
        .request(
            account,
            retryAfterMillis -> {
              refused++;
              if (remainingAttempts > 1) {
                network.after(
                    retryAfterMillis * MILLI,
                    () -> requestAndReturn(account, remainingAttempts - 1));
              }
            });
  }

  private void requestWithRetries(Daemon daemon, AccountId account, int remainingRetries) {
    daemon.request(
        account,
        retryAfterMillis -> {
          if (remainingRetries > 0) {
            network.after(
                2 * LINK_NANOS, () -> requestWithRetries(daemon, account, remainingRetries - 1));
          }
        });
  }

  private void heartbeat() {
    for (Vm follower : vms.subList(1, VMS)) {
      vms.get(0)
          .enqueue(
              FRAME_NANOS,
              () ->
                  network.after(
                      LINK_NANOS, () -> follower.enqueue(FRAME_NANOS, follower::onHeartbeat)));
    }
    network.after(RAFT.heartbeatIntervalNanos(), this::heartbeat);
  }

  private void tick() {
    long now = network.nowNanos();
    owner.confirmLeadership(now);
    vms.forEach(vm -> vm.enqueue(0, vm::tick));
    daemons.forEach(daemon -> daemon.holder.onTick(now));
    network.after(TICK_NANOS, this::tick);
  }

  /** A single thread that runs its tasks one after the other. */
  private class Processor {

    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private boolean busy;
    private long chargedNanos;
    boolean frozen;
    long busyNanos;

    /** Adds a task with a fixed cost; the task may charge more while it runs. */
    void enqueue(long costNanos, Runnable task) {
      tasks.add(
          () -> {
            charge(costNanos);
            task.run();
          });
      if (!busy) {
        busy = true;
        runNext();
      }
    }

    void charge(long nanos) {
      chargedNanos += nanos;
    }

    long now() {
      return network.nowNanos() + chargedNanos;
    }

    private void runNext() {
      Runnable task = frozen ? null : tasks.poll();
      if (task == null) {
        busy = false;
        return;
      }
      task.run();
      long cost = chargedNanos;
      chargedNanos = 0;
      busyNanos += cost;
      network.after(cost, this::runNext);
    }
  }

  /** A control VM: the relay of its daemons and, on the first VM, the owner of all accounts. */
  private final class Vm extends Processor {
    private final int index;
    private final ShareRelay relay;
    private final ShareTaskQueue taskQueue = new ShareTaskQueue(this::now);
    private final ShareOutbox toOwner = new ShareOutbox(batched ? RELAY_BATCH_NANOS : 0);
    private final Map<Integer, List<ShareFrame>> toDaemons = new HashMap<>();
    private final Map<Integer, List<ShareFrame>> toRelays = new HashMap<>();
    private boolean tasksScheduled;
    private long lastHeartbeatAtNanos;

    Vm(int index) {
      this.index = index;
      relay =
          new ShareRelay(
              TIMES,
              this::sendToOwner,
              (daemon, message) -> send(toDaemons, Integer.parseInt(daemon), message));
      relay.onConnected(1, 0);
    }

    private void sendToOwner(ShareMessage message) {
      toOwner.add(message);
      flushUnbatched();
    }

    private void reply(String relayIndex, ShareMessage message) {
      send(toRelays, Integer.parseInt(relayIndex), message);
    }

    private void send(Map<Integer, List<ShareFrame>> to, int receiver, ShareMessage message) {
      to.computeIfAbsent(receiver, unused -> new ArrayList<>()).add(message);
      flushUnbatched();
    }

    private void flushUnbatched() {
      if (!batched) {
        flush();
      }
    }

    private void tick() {
      if (index == 0) {
        owner.onTick(now());
      }
      relay.onTick(now());
      flush();
    }

    /** Receives a batch and handles it in a time slice. */
    private void receive(int from, List<ShareFrame> batch, boolean fromDaemon) {
      enqueue(
          FRAME_NANOS,
          () -> {
            messages += batch.size();
            if (batched) {
              taskQueue.add(() -> handle(from, batch, fromDaemon));
              scheduleTasks();
            } else {
              handle(from, batch, fromDaemon);
              flush();
            }
          });
    }

    private void handle(int from, List<ShareFrame> batch, boolean fromDaemon) {
      if (batched) {
        (fromDaemon ? toDaemons : toRelays).computeIfAbsent(from, unused -> new ArrayList<>());
      }
      for (ShareFrame frame : batch) {
        charge(MESSAGE_NANOS);
        if (fromDaemon) {
          relay.onHolderMessage("" + from, (ShareMessage) frame, now());
        } else {
          owner.onMessage("" + from, (ShareMessage) frame, now());
        }
      }
    }

    private void receiveFromOwner(List<ShareFrame> batch) {
      enqueue(
          FRAME_NANOS,
          () -> {
            taskQueue.add(
                () -> {
                  toOwner.onReply();
                  for (ShareFrame frame : batch) {
                    charge(MESSAGE_NANOS);
                    relay.onOwnerMessage((ShareMessage) frame, now());
                  }
                });
            if (batched) {
              scheduleTasks();
            } else {
              taskQueue.run();
              flush();
            }
          });
    }

    private void scheduleTasks() {
      if (!tasksScheduled) {
        tasksScheduled = true;
        network.after(Math.max(0, taskQueue.delayNanos()), () -> enqueue(0, this::runTasks));
      }
    }

    private void runTasks() {
      tasksScheduled = false;
      taskQueue.run();
      flush();
      if (taskQueue.hasWork()) {
        scheduleTasks();
      }
    }

    private void flush() {
      Map<Integer, List<ShareFrame>> daemonBatches = new HashMap<>(toDaemons);
      Map<Integer, List<ShareFrame>> relayBatches = new HashMap<>(toRelays);
      toDaemons.clear();
      toRelays.clear();
      daemonBatches.forEach((to, batch) -> transmit(() -> daemons.get(to).receive(batch)));
      relayBatches.forEach((to, batch) -> transmit(() -> vms.get(to).receiveFromOwner(batch)));
      flushToOwner();
    }

    private void flushToOwner() {
      if (!batched) {
        toOwner.onReply();
      }
      List<ShareFrame> batch = toOwner.take(now());
      if (!batch.isEmpty()) {
        transmit(() -> vms.get(0).receive(index, batch, false));
      } else if (toOwner.hasPending()) {
        network.after(
            Math.max(MILLI, toOwner.delayNanos(now())), () -> enqueue(0, this::flushToOwner));
      }
    }

    private void transmit(Runnable delivery) {
      charge(FRAME_NANOS);
      network.after(now() - network.nowNanos() + LINK_NANOS, delivery);
    }

    private void onHeartbeat() {
      recordHeartbeatGap();
      lastHeartbeatAtNanos = now();
    }

    private void recordHeartbeatGap() {
      if (index > 0) {
        maxHeartbeatGapNanos = Math.max(maxHeartbeatGapNanos, now() - lastHeartbeatAtNanos);
      }
    }
  }

  /** A daemon whose own thread is never overloaded. */
  private final class Daemon {
    private final int index;
    private Vm vm;
    private long session = 1;
    private final ShareHolder holder;
    private final ShareOutbox outbox = new ShareOutbox(DAEMON_BATCH_NANOS);

    Daemon(int index, Vm vm) {
      this.index = index;
      this.vm = vm;
      holder = new ShareHolder(TIMES, this::send);
      holder.onConnected(session, 0);
    }

    void moveTo(Vm newVm) {
      vm = newVm;
      outbox.clear();
      holder.onDisconnected(network.nowNanos());
      holder.onConnected(++session, network.nowNanos());
    }

    void request(AccountId account, LongConsumer onRefused) {
      long now = network.nowNanos();
      holder.acquire(
          account,
          now + WAIT_NANOS,
          new RateLimiter.Listener() {
            @Override
            public void onGranted() {
              // The request runs.
            }

            @Override
            public void onRefused(long retryAfterMillis) {
              onRefused.accept(retryAfterMillis);
            }
          },
          now);
    }

    private void send(ShareMessage message) {
      if (batched) {
        outbox.add(message);
        flush();
      } else {
        network.after(LINK_NANOS, () -> vm.receive(index, List.of(message), true));
      }
    }

    private void flush() {
      List<ShareFrame> batch = outbox.take(network.nowNanos());
      if (!batch.isEmpty()) {
        network.after(LINK_NANOS, () -> vm.receive(index, batch, true));
      } else if (outbox.hasPending()) {
        network.after(outbox.delayNanos(network.nowNanos()), this::flush);
      }
    }

    void receive(List<ShareFrame> batch) {
      outbox.onReply();
      for (ShareFrame frame : batch) {
        holder.onMessage((ShareMessage) frame, network.nowNanos());
      }
      flush();
    }
  }
}
