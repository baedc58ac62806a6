package org.cornelspoke.coordination.quota;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
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
  private final ShareTimes times;
  private final Recovery recovery;
  private final Set<String> unregisteredDaemons = new HashSet<>();
  private Leader leader;
  private Account account;
  private long nextSession = 1;
  private long lastTerm;
  int refused;
  int messages;

  /** How a new leader learns that it may issue shares before the quiet period ends. */
  enum Recovery {
    /** It waits for the whole quiet period. */
    TIME_ONLY,

    /** It waits for all relays, or for all registered daemons. */
    REPORTS,

    /** It waits for all relays only. */
    RELAY_REPORTS,

    /** Injects a fault: relays do not state that former processes have issued shares. */
    RESTARTS_IGNORED,

    /** Injects a fault: the leader does not wait for relays that do not report. */
    CUT_OFF_RELAYS_IGNORED
  }

  /** Creates a cluster whose leaders wait for the quiet period. */
  ShareCluster(
      RandomGenerator random,
      Account account,
      int relayCount,
      int daemonsPerRelay,
      double clockError,
      boolean quietAfterElection) {
    this(
        random,
        account,
        relayCount,
        daemonsPerRelay,
        clockError,
        quietAfterElection,
        ShareTimes.DEFAULT,
        Recovery.TIME_ONLY);
  }

  /**
   * Creates a cluster. A false {@code quietAfterElection} injects a fault that checks must detect.
   */
  ShareCluster(
      RandomGenerator random,
      Account account,
      int relayCount,
      int daemonsPerRelay,
      double clockError,
      boolean quietAfterElection,
      ShareTimes times,
      Recovery recovery) {
    this.times = times;
    this.recovery = recovery;
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

  /**
   * Elects a new leader, which the relays follow within 0.2 s, except those that are cut off; they
   * stay with the former leader until they are connected again.
   */
  void changeLeaderWithout(Set<Relay> cutOff) {
    Leader former = leader;
    former.isolated = true;
    leader = new Leader();
    Leader elected = leader;
    for (Relay relay : relays) {
      if (!cutOff.contains(relay)) {
        network.after((long) (random.nextDouble() * SECOND / 5), () -> relay.connect(elected));
      }
    }
  }

  /**
   * Stops the leader and all relays and daemons at once. Relays start again, a leader is elected,
   * and daemons return.
   *
   * @param outOfReach daemons that keep their power and their shares but don't return
   * @param lost daemons that stop and don't return
   */
  void losePower(
      Set<Daemon> outOfReach,
      Set<Daemon> lost,
      long startDelayNanos,
      long electionDelayNanos,
      long attachDelayNanos) {
    leader.stopped = true;
    relays.forEach(Relay::stop);
    for (Daemon daemon : daemons) {
      if (outOfReach.contains(daemon)) {
        daemon.disconnect();
      } else {
        daemon.stop();
      }
      daemon.away |= outOfReach.contains(daemon) || lost.contains(daemon);
    }
    network.after(startDelayNanos, () -> relays.forEach(Relay::start));
    network.after(
        electionDelayNanos,
        () -> {
          Leader elected = new Leader();
          leader = elected;
          for (Relay relay : relays) {
            network.after((long) (random.nextDouble() * SECOND / 5), () -> relay.connect(elected));
          }
        });
    network.after(
        attachDelayNanos, () -> daemons.forEach(daemon -> daemon.connect(daemon.attached)));
  }

  /** Lets a daemon that was out of reach or lost return. */
  void returnDaemon(Daemon daemon) {
    daemon.away = false;
    daemon.connect(daemon.attached);
  }

  /**
   * Removes the registration of a daemon, which keeps its share. Control VMs remember the daemon
   * for a quiet period, also through a restart.
   */
  void unregister(Daemon daemon) {
    network.after(
        times.quietPeriodNanos(), () -> unregisteredDaemons.add(String.valueOf(daemon.index)));
  }

  void register(Daemon daemon) {
    unregisteredDaemons.remove(String.valueOf(daemon.index));
  }

  private Set<String> registeredDaemons() {
    return daemons.stream()
        .map(daemon -> String.valueOf(daemon.index))
        .filter(id -> !unregisteredDaemons.contains(id))
        .collect(Collectors.toSet());
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
    private final long term = ++lastTerm;
    private boolean isolated;
    private boolean stopped;
    private long issuingAtNanos = -1;
    private final Set<String> seenRelays = new HashSet<>();

    Leader() {
      long elected = clock.now() - (quietAfterElection ? 0 : 100 * SECOND);
      owner = new ShareOwner(times, this::send, elected);
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

    /** Returns the true time at which the leader was first seen to issue shares, or -1. */
    long issuingAtNanos() {
      return issuingAtNanos;
    }

    private void endQuietPeriodIfReady() {
      if (recovery == Recovery.REPORTS) {
        owner.endQuietPeriodIfReady(registeredDaemons(), clock.now());
      }
      if (recovery == Recovery.CUT_OFF_RELAYS_IGNORED) {
        owner.endQuietPeriodIfRelaysComplete(seenRelays, clock.now());
      } else if (recovery != Recovery.TIME_ONLY) {
        owner.endQuietPeriodIfRelaysComplete(
            IntStream.range(0, relays.size()).mapToObj(String::valueOf).toList(), clock.now());
      }
      if (issuingAtNanos < 0 && !owner.isInQuietPeriod(clock.now())) {
        issuingAtNanos = network.nowNanos();
      }
    }

    private void tick() {
      if (stopped) {
        return;
      }
      if (!isolated) {
        owner.confirmLeadership(clock.now());
        endQuietPeriodIfReady();
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

    private final Set<Daemon> readyDaemons = new HashSet<>();
    private long knownTerm;

    Relay(int index) {
      this.index = index;
      start();
      network.after((long) (random.nextDouble() * TICK_NANOS), this::tick);
    }

    private void start() {
      disconnectDaemons();
      relay = new ShareRelay(times, this::sendUp, this::sendDown);
      relay.start(times.daemonLeaseNanos(), clock.now());
    }

    void stop() {
      disconnect();
      disconnectDaemons();
      relay = new ShareRelay(times, message -> {}, (holder, message) -> {});
    }

    private void disconnectDaemons() {
      daemons.stream().filter(daemon -> daemon.attached == this).forEach(Daemon::disconnect);
    }

    void connect(Leader target) {
      if (recovery != Recovery.TIME_ONLY && target.term < knownTerm) {
        // The relay's VM has learned of a later term and follows no earlier leader.
        return;
      }
      knownTerm = target.term;
      disconnect();
      connectedLeader = target;
      uplink = network.new Connection((long) (MILLI * (0.5 + random.nextDouble())));
      target.connections.set(index, uplink);
      relay.onConnected(newSession(), clock.now());
      long unknownNanos =
          recovery == Recovery.RESTARTS_IGNORED ? 0 : relay.unknownSharesNanos(clock.now());
      SimulatedNetwork.Connection connection = uplink;
      uplink.send(
          () -> {
            if (connection.isOpen()) {
              target.seenRelays.add(String.valueOf(index));
              target.owner.onRelayReady(String.valueOf(index), unknownNanos, target.clock.now());
            }
          });
      readyDaemons.forEach(this::sendReady);
    }

    void disconnect() {
      if (uplink != null && uplink.isOpen()) {
        uplink.breakConnection();
        relay.onDisconnected(clock.now());
      }
    }

    void restart(long downNanos) {
      disconnect();
      List<Daemon> attached = daemons.stream().filter(d -> d.attached == this && !d.away).toList();
      attached.forEach(Daemon::disconnect);
      relay = new ShareRelay(times, message -> {}, (holder, message) -> {});
      network.after(
          downNanos,
          () -> {
            start();
            connect(leader);
            attached.forEach(daemon -> daemon.connect(this));
          });
    }

    private void sendReady(Daemon daemon) {
      Leader target = connectedLeader;
      SimulatedNetwork.Connection connection = uplink;
      if (connection != null) {
        connection.send(
            () -> {
              if (connection.isOpen()) {
                target.owner.onReady(String.valueOf(daemon.index));
              }
            });
      }
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
    private boolean away;

    Daemon(int index) {
      this.index = index;
      holder = new ShareHolder(times, this::sendUp);
      network.after((long) (random.nextDouble() * TICK_NANOS), this::tick);
    }

    void connect(Relay target) {
      if (away) {
        return;
      }
      disconnect();
      attached = target;
      uplink = network.new Connection((long) (MILLI * (0.2 + 0.5 * random.nextDouble())));
      holder.onConnected(newSession(), clock.now());
      ShareRelay receiver = target.relay;
      SimulatedNetwork.Connection connection = uplink;
      // Statements that a daemon or relay is ready carry no session, and none of them is handled
      // after its connection has closed.
      uplink.send(
          () -> {
            if (target.relay == receiver && connection.isOpen()) {
              target.readyDaemons.add(this);
              target.sendReady(this);
            }
          });
    }

    /** Stops the process, which admits nothing and holds nothing until it connects again. */
    void stop() {
      disconnect();
      holder = new ShareHolder(times, this::sendUp);
    }

    void disconnect() {
      if (uplink != null && uplink.isOpen()) {
        uplink.breakConnection();
        attached.readyDaemons.remove(this);
        holder.onDisconnected(clock.now());
      }
    }

    void restart() {
      disconnect();
      holder = new ShareHolder(times, this::sendUp);
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
