package org.cornelspoke.coordination.quota;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.math3.random.RandomGenerator;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.state.config.Account;

/** Daemons, relays and leaders that share one account in virtual time. */
final class ShareCluster {

  static final AccountId ACCOUNT = new AccountId("syr");
  static final long MILLI = 1_000_000L;
  static final long SECOND = 1_000_000_000L;
  private static final long TICK_NANOS = 5 * MILLI;
  private static final long WAIT_NANOS = 50 * MILLI;

  final SimulatedNetwork network;
  final List<Daemon> daemons = new ArrayList<>();
  final List<Relay> relays = new ArrayList<>();
  final List<Long> admissions = new ArrayList<>();
  private final RandomGenerator random;
  private final double clockError;
  private final boolean quietAfterElection;
  private Leader leader;
  private Account account;
  private long nextSession = 1;
  int refused;
  int messages;

  /**
   * Creates a cluster. A false {@code quietAfterElection} injects a fault that checks must detect.
   */
  ShareCluster(
      RandomGenerator random,
      Account account,
      int relayCount,
      int daemonsPerRelay,
      double clockError,
      boolean quietAfterElection) {
    this.random = random;
    this.account = account;
    this.clockError = clockError;
    this.quietAfterElection = quietAfterElection;
    network = new SimulatedNetwork(random);
    leader = new Leader();
    for (int i = 0; i < relayCount; i++) {
      Relay relay = new Relay(i);
      relays.add(relay);
      relay.connect(leader);
      for (int j = 0; j < daemonsPerRelay; j++) {
        Daemon daemon = new Daemon(daemons.size());
        daemons.add(daemon);
        daemon.connect(relay);
      }
    }
  }

  long newSession() {
    nextSession += 1_000_000;
    return nextSession;
  }

  /** Elects a new leader; the former one keeps running without confirmation of its leadership. */
  void changeLeader() {
    leader.isolated = true;
    leader = new Leader();
    Leader elected = leader;
    for (Relay relay : relays) {
      network.after((long) (random.nextDouble() * 2 * SECOND), () -> relay.connect(elected));
    }
  }

  Leader leader() {
    return leader;
  }

  void setAccount(Account changed) {
    account = changed;
    leader.owner.setAccounts(List.of(changed), leader.clock.now());
  }

  /** A leader with its share owner. */
  final class Leader {
    private final SimulatedNetwork.Clock clock = network.new Clock(clockError);
    private final List<SimulatedNetwork.Connection> connections = new ArrayList<>();
    private final ShareOwner owner;
    private boolean isolated;

    Leader() {
      long elected = clock.now() - (quietAfterElection ? 0 : 100 * SECOND);
      owner = new ShareOwner(ShareTimes.DEFAULT, this::send, elected);
      owner.confirmLeadership(clock.now());
      owner.setAccounts(List.of(account), clock.now());
      for (int i = 0; i < 16; i++) {
        connections.add(null);
      }
      tick();
    }

    private void send(String holder, ShareMessage message) {
      messages++;
      Relay relay = relays.get(Integer.parseInt(holder));
      SimulatedNetwork.Connection connection = connections.get(relay.index);
      if (connection != null) {
        ShareRelay receiver = relay.relay;
        connection.send(
            () -> {
              if (relay.relay == receiver) {
                receiver.onOwnerMessage(message, relay.clock.now());
              }
            });
      }
    }

    private void tick() {
      if (!isolated) {
        owner.confirmLeadership(clock.now());
      }
      owner.onTick(clock.now());
      network.after(TICK_NANOS, this::tick);
    }
  }

  /** A relay that loses its state on a restart. */
  final class Relay {
    private final int index;
    private final SimulatedNetwork.Clock clock = network.new Clock(clockError);
    private ShareRelay relay;
    private Leader connectedLeader;
    private SimulatedNetwork.Connection uplink;

    Relay(int index) {
      this.index = index;
      start();
      network.after((long) (random.nextDouble() * TICK_NANOS), this::tick);
    }

    private void start() {
      relay = new ShareRelay(ShareTimes.DEFAULT, this::sendUp, this::sendDown);
    }

    void connect(Leader target) {
      disconnect();
      connectedLeader = target;
      uplink = network.new Connection((long) (MILLI * (0.5 + random.nextDouble())));
      target.connections.set(index, uplink);
      relay.onConnected(newSession(), clock.now());
    }

    void disconnect() {
      if (uplink != null && uplink.isOpen()) {
        uplink.breakConnection();
        relay.onDisconnected(clock.now());
      }
    }

    void restart(long downNanos) {
      disconnect();
      List<Daemon> attached = daemons.stream().filter(d -> d.attached == this).toList();
      attached.forEach(Daemon::disconnect);
      relay = new ShareRelay(ShareTimes.DEFAULT, message -> {}, (holder, message) -> {});
      network.after(
          downNanos,
          () -> {
            start();
            connect(leader);
            attached.forEach(daemon -> daemon.connect(this));
          });
    }

    private void sendUp(ShareMessage message) {
      messages++;
      Leader target = connectedLeader;
      uplink.send(() -> target.owner.onMessage(String.valueOf(index), message, target.clock.now()));
    }

    private void sendDown(String holder, ShareMessage message) {
      messages++;
      Daemon daemon = daemons.get(Integer.parseInt(holder));
      if (daemon.attached == this) {
        ShareHolder receiver = daemon.holder;
        daemon.uplink.send(
            () -> {
              if (daemon.holder == receiver) {
                receiver.onMessage(message, daemon.clock.now());
              }
            });
      }
    }

    private void tick() {
      relay.onTick(clock.now());
      network.after(TICK_NANOS, this::tick);
    }
  }

  /** A daemon that loses its state on a restart. */
  final class Daemon {
    private final int index;
    private final SimulatedNetwork.Clock clock = network.new Clock(clockError);
    private ShareHolder holder;
    private Relay attached;
    private SimulatedNetwork.Connection uplink;

    Daemon(int index) {
      this.index = index;
      holder = new ShareHolder(ShareTimes.DEFAULT, this::sendUp);
      network.after((long) (random.nextDouble() * TICK_NANOS), this::tick);
    }

    void connect(Relay target) {
      disconnect();
      attached = target;
      uplink = network.new Connection((long) (MILLI * (0.2 + 0.5 * random.nextDouble())));
      holder.onConnected(newSession(), clock.now());
    }

    void disconnect() {
      if (uplink != null && uplink.isOpen()) {
        uplink.breakConnection();
        holder.onDisconnected(clock.now());
      }
    }

    void restart() {
      disconnect();
      holder = new ShareHolder(ShareTimes.DEFAULT, this::sendUp);
      connect(attached);
    }

    void request() {
      long now = clock.now();
      holder.acquire(
          ACCOUNT,
          now + WAIT_NANOS,
          new RateLimiter.Listener() {
            @Override
            public void onGranted() {
              admissions.add(network.nowNanos());
            }

            @Override
            public void onRefused(long retryAfterMillis) {
              refused++;
            }
          },
          now);
    }

    ShareHolder holder() {
      return holder;
    }

    Relay attached() {
      return attached;
    }

    private void sendUp(ShareMessage message) {
      messages++;
      Relay target = attached;
      ShareRelay receiver = target.relay;
      uplink.send(
          () -> {
            if (target.relay == receiver) {
              receiver.onHolderMessage(String.valueOf(index), message, target.clock.now());
            }
          });
    }

    private void tick() {
      holder.onTick(clock.now());
      network.after(TICK_NANOS, this::tick);
    }
  }
}
