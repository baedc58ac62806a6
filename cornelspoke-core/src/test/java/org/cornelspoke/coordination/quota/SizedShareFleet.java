package org.cornelspoke.coordination.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.commons.math3.random.RandomGenerator;
import org.cornelspoke.coordination.consensus.RaftSettings;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.state.config.Account;

/**
 * A hundred daemons with ninety accounts, five control VMs and the clients, in virtual time. Each
 * control VM has one thread, which takes time for every frame and message and also sends or answers
 * the heartbeats of the group.
 */
final class SizedShareFleet {

  static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  static final int DAEMONS = 100;
  static final int VMS = 5;
  static final int ACCOUNTS = 90;

  /** Rate of an account in requests per second; its burst is that of one second. */
  static final double RATE = 16;

  /** Load of an account within its rate, as a part of it. */
  private static final double LOAD_PART = 0.6;

  /** Load of the account above its rate, as a multiple of it. */
  private static final double EXCESS_FACTOR = 10;

  /** Times that a refused client of this account comes back at once. */
  private static final int REPEATS = 3;

  /** Wake-up, system calls and copying of a frame of some hundred bytes. */
  private static final long FRAME_NANOS = TimeUnit.MICROSECONDS.toNanos(100);

  /** Decoding a message and its work on the account. */
  private static final long MESSAGE_NANOS = TimeUnit.MICROSECONDS.toNanos(30);

  private static final long LINK_NANOS = MILLI;
  private static final long TICK_NANOS = 50 * MILLI;
  private static final long WAIT_NANOS = 200 * MILLI;
  private static final long DAEMON_BATCH_NANOS = 20 * MILLI;
  private static final long RELAY_BATCH_NANOS = 10 * MILLI;
  private static final RaftSettings RAFT = RaftSettings.DEFAULT;
  private static final ShareTimes TIMES =
      new ShareTimes(3_500 * MILLI, 300 * MILLI, 1_500 * MILLI, 4 * SECOND)
          .withWaitNanos(WAIT_NANOS);

  final SimulatedNetwork network;
  private final RandomGenerator random;
  private final boolean batched;
  private final ShareOwner owner;
  private final List<Vm> vms = new ArrayList<>();
  private final List<Daemon> daemons = new ArrayList<>();
  private final List<AccountId> accounts = new ArrayList<>();
  private long measuredFromNanos;
  private long longestSilenceNanos;
  private int offered;
  private int refused;
  private int messages;

  /** Creates a fleet; without batches each message is a frame and is handled as it arrives. */
  SizedShareFleet(RandomGenerator random, boolean batched) {
    this.random = random;
    this.batched = batched;
    network = new SimulatedNetwork(random);
    owner =
        new ShareOwner(TIMES, (relay, message) -> vms.get(0).answer(relay, message), -SECOND * 60);
    owner.confirmLeadership(0);
    List<Account> configured = new ArrayList<>();
    for (int i = 0; i < ACCOUNTS; i++) {
      accounts.add(new AccountId("account-" + i));
      configured.add(new Account(accounts.get(i), RATE, RATE, 1));
    }
    owner.setAccounts(configured, 0);
    for (int i = 0; i < VMS; i++) {
      vms.add(new Vm(i));
    }
    for (int i = 0; i < DAEMONS; i++) {
      daemons.add(new Daemon(i, vms.get(i % VMS)));
    }
    heartbeat();
    tick();
  }

  /** Starts the clients: every account within its rate but the first, if that is asked for. */
  void start(boolean firstAboveItsRate) {
    for (int i = 0; i < ACCOUNTS; i++) {
      boolean within = i > 0 || !firstAboveItsRate;
      arrive(accounts.get(i), RATE * (within ? LOAD_PART : EXCESS_FACTOR), within);
    }
  }

  /** Runs until the end and counts from the given time on. */
  void run(long measuredFrom, long endNanos) {
    network.runUntil(measuredFrom);
    measuredFromNanos = measuredFrom;
    offered = 0;
    refused = 0;
    messages = 0;
    vms.forEach(vm -> vm.busyNanos = 0);
    network.runUntil(endNanos);
    vms.forEach(Vm::noteSilence);
  }

  /** Returns the part of the requests of accounts within their rates that were refused. */
  double refusedPart() {
    return (double) refused / offered;
  }

  /** Returns the longest time for which a follower had no heartbeat since the start. */
  long longestSilenceNanos() {
    return longestSilenceNanos;
  }

  /** Returns the part of the time for which the busiest control thread worked. */
  double busiestPart() {
    long measured = network.nowNanos() - measuredFromNanos;
    return (double) vms.stream().mapToLong(vm -> vm.busyNanos).max().orElseThrow() / measured;
  }

  /** Returns the messages that reached control VMs, per second. */
  double messagesPerSecond() {
    return messages * 1e9 / (network.nowNanos() - measuredFromNanos);
  }

  private void arrive(AccountId account, double perSecond, boolean within) {
    Daemon daemon = daemons.get(random.nextInt(DAEMONS));
    if (within) {
      offered++;
      daemon.request(account, () -> refused++);
    } else {
      requestAndRepeat(daemon, account, REPEATS);
    }
    network.after(
        (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND),
        () -> arrive(account, perSecond, within));
  }

  private void requestAndRepeat(Daemon daemon, AccountId account, int repeats) {
    daemon.request(
        account,
        () -> {
          if (repeats > 0) {
            network.after(2 * LINK_NANOS, () -> requestAndRepeat(daemon, account, repeats - 1));
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

  /** One thread that does one thing after the other. */
  private class Processor {

    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private boolean busy;
    private long chargedNanos;
    long busyNanos;

    /** Adds a task with a fixed cost; more may be charged while it runs. */
    void enqueue(long costNanos, Runnable task) {
      tasks.add(
          () -> {
            charge(costNanos);
            task.run();
          });
      if (!busy) {
        busy = true;
        next();
      }
    }

    void charge(long nanos) {
      chargedNanos += nanos;
    }

    long now() {
      return network.nowNanos() + chargedNanos;
    }

    private void next() {
      Runnable task = tasks.poll();
      if (task == null) {
        busy = false;
        return;
      }
      task.run();
      long cost = chargedNanos;
      chargedNanos = 0;
      busyNanos += cost;
      network.after(cost, this::next);
    }
  }

  /** A control VM: relay for its daemons, and the first one owner of all accounts. */
  private final class Vm extends Processor {
    private final int index;
    private final ShareRelay relay;
    private final ShareTurns turns = new ShareTurns(this::now);
    private final ShareOutbox toOwner = new ShareOutbox(batched ? RELAY_BATCH_NANOS : 0);
    private final Map<Integer, List<ShareFrame>> toDaemons = new HashMap<>();
    private final Map<Integer, List<ShareFrame>> toRelays = new HashMap<>();
    private boolean turnIsPlanned;
    private long lastHeartbeatNanos;

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

    private void answer(String relayIndex, ShareMessage message) {
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

    /** Takes a batch off the network and handles it in a turn. */
    private void receive(int from, List<ShareFrame> batch, boolean fromDaemon) {
      enqueue(
          FRAME_NANOS,
          () -> {
            messages += batch.size();
            if (batched) {
              turns.add(() -> handle(from, batch, fromDaemon));
              planTurn();
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
            turns.add(
                () -> {
                  toOwner.onAnswer();
                  for (ShareFrame frame : batch) {
                    charge(MESSAGE_NANOS);
                    relay.onOwnerMessage((ShareMessage) frame, now());
                  }
                });
            if (batched) {
              planTurn();
            } else {
              turns.run();
              flush();
            }
          });
    }

    private void planTurn() {
      if (!turnIsPlanned) {
        turnIsPlanned = true;
        network.after(Math.max(0, turns.delayNanos()), () -> enqueue(0, this::turn));
      }
    }

    private void turn() {
      turnIsPlanned = false;
      turns.run();
      flush();
      if (turns.hasWork()) {
        planTurn();
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
        toOwner.onAnswer();
      }
      List<ShareFrame> batch = toOwner.take(now());
      if (!batch.isEmpty()) {
        transmit(() -> vms.get(0).receive(index, batch, false));
      } else if (toOwner.hasWaiting()) {
        network.after(
            Math.max(MILLI, toOwner.delayNanos(now())), () -> enqueue(0, this::flushToOwner));
      }
    }

    private void transmit(Runnable delivery) {
      charge(FRAME_NANOS);
      network.after(now() - network.nowNanos() + LINK_NANOS, delivery);
    }

    private void onHeartbeat() {
      noteSilence();
      lastHeartbeatNanos = now();
    }

    private void noteSilence() {
      if (index > 0) {
        longestSilenceNanos = Math.max(longestSilenceNanos, now() - lastHeartbeatNanos);
      }
    }
  }

  /** A daemon whose own thread is not short of time. */
  private final class Daemon {
    private final int index;
    private final Vm vm;
    private final ShareHolder holder;
    private final ShareOutbox outbox = new ShareOutbox(DAEMON_BATCH_NANOS);

    Daemon(int index, Vm vm) {
      this.index = index;
      this.vm = vm;
      holder = new ShareHolder(TIMES, this::send);
      holder.onConnected(1, 0);
    }

    void request(AccountId account, Runnable onRefused) {
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
              onRefused.run();
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
      } else if (outbox.hasWaiting()) {
        network.after(outbox.delayNanos(network.nowNanos()), this::flush);
      }
    }

    void receive(List<ShareFrame> batch) {
      outbox.onAnswer();
      for (ShareFrame frame : batch) {
        holder.onMessage((ShareMessage) frame, network.nowNanos());
      }
      flush();
    }
  }
}
