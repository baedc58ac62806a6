package org.cornelspoke.daemon.runtime;

import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.cornelspoke.coordination.consensus.ReplicatedLog;
import org.cornelspoke.coordination.quota.FloorRateLimiter;
import org.cornelspoke.coordination.quota.ShareFrame;
import org.cornelspoke.coordination.quota.ShareFrame.HolderReady;
import org.cornelspoke.coordination.quota.ShareMessage;
import org.cornelspoke.coordination.quota.ShareOwner;
import org.cornelspoke.coordination.quota.ShareRelay;
import org.cornelspoke.coordination.quota.ShareTaskQueue;
import org.cornelspoke.coordination.quota.ShareTimes;
import org.cornelspoke.daemon.relay.RelayServer;
import org.cornelspoke.daemon.relay.ShareEndpoint;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.VmId;
import org.cornelspoke.protocol.quota.ShareMessageCodec;
import org.cornelspoke.state.config.Account;
import org.cornelspoke.state.config.ConfigState;

/**
 * Rate shares on a control VM: the middle level for the daemons of this relay, and on the leader
 * the owner of every account.
 *
 * <p>Belongs to the control thread.
 */
final class RelayShares implements ShareEndpoint {

  private static final System.Logger LOGGER = System.getLogger(RelayShares.class.getName());

  /** Messages are served as they arrive; ticks only end leases and prove leadership. */
  private static final long TICK_MILLIS = 50;

  /** Less than half of the age at which a proof of leadership ends. */
  private static final long PROOF_MILLIS = 400;

  /** Shortest time between two batches to the owner; a twentieth of the wait for a token. */
  private static final long BATCH_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private static final long QUIET_LOG_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final NioReactor reactor;
  private final VmId self;
  private final ReplicatedLog log;
  private final ConfigState config;
  private final ShareTimes times;
  private final double sharedBurstPart;
  private final ShareRelay middle;
  private final ShareTaskQueue turns = new ShareTaskQueue(System::nanoTime);
  private final BatchSender toOwner;
  private final Map<DaemonId, List<ShareFrame>> toDaemons = new LinkedHashMap<>();
  private final Map<VmId, List<ShareFrame>> toRelays = new LinkedHashMap<>();
  private final Set<DaemonId> readyDaemons = new LinkedHashSet<>();
  private RelayServer server;
  private Optional<ShareOwner> owner = Optional.empty();
  private long quietLoggedNanos;
  private long loggedTerm = -1;
  private long ownerTerm;
  private boolean ownerProved;
  private Revision ownerRevision = Revision.NONE;
  private boolean ownerLeavesBurst = true;
  private int mostDaemons;
  private Optional<VmId> connectedTo = Optional.empty();
  private long connectedTerm;
  private long lastSession;
  private long provedAtNanos;
  private ScheduledRunnable nextTick;
  private Optional<ScheduledRunnable> nextTurn = Optional.empty();

  RelayShares(
      NioReactor reactor,
      VmId self,
      ReplicatedLog log,
      ConfigState config,
      ControlProfile profile) {
    this.times = profile.shareTimes;
    this.sharedBurstPart = profile.sharedBurstPart;
    this.reactor = reactor;
    this.self = self;
    this.log = log;
    this.config = config;
    this.toOwner = new BatchSender(reactor, BATCH_NANOS, this::transmitToOwner);
    this.middle = new ShareRelay(times, toOwner::add, this::sendToDaemon);
  }

  void start(RelayServer relayServer) {
    this.server = relayServer;
    this.provedAtNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(PROOF_MILLIS);
    tick();
  }

  void stop() {
    nextTick.cancel();
    nextTurn.ifPresent(ScheduledRunnable::cancel);
  }

  @Override
  public void onAttached(DaemonId daemon) {
    // A daemon opens a new session with its first report.
  }

  @Override
  public void onDetached(DaemonId daemon) {
    // The share of the daemon returns when its lease ends.
    readyDaemons.remove(daemon);
  }

  @Override
  public void onMessage(DaemonId daemon, byte[] message) {
    List<ShareFrame> batch = decode(message);
    inTurn(
        () -> {
          // Every batch is answered, if only with an empty one, so that the daemon sends the next.
          toDaemons.computeIfAbsent(daemon, unused -> new ArrayList<>());
          batch.forEach(frame -> receiveFromDaemon(daemon, frame));
        });
  }

  private void receiveFromDaemon(DaemonId daemon, ShareFrame frame) {
    if (frame instanceof ShareMessage share) {
      middle.onHolderMessage(daemon.value(), share, System.nanoTime());
    } else {
      readyDaemons.add(daemon);
      if (connectedTo.isPresent()) {
        toOwner.add(new HolderReady(daemon.value()));
      }
    }
  }

  @Override
  public void onRelayMessage(VmId relay, byte[] message) {
    receiveFromRelay(relay, decode(message));
  }

  private void receiveFromRelay(VmId relay, List<ShareFrame> batch) {
    inTurn(
        () ->
            currentOwner(System.nanoTime())
                .ifPresent(
                    current -> {
                      toRelays.computeIfAbsent(relay, unused -> new ArrayList<>());
                      batch.forEach(frame -> receiveAsOwner(current, relay, frame));
                    }));
  }

  private void receiveAsOwner(ShareOwner current, VmId relay, ShareFrame frame) {
    long now = System.nanoTime();
    if (frame instanceof ShareMessage message) {
      current.onMessage(relay.value(), message, now);
    } else if (frame instanceof HolderReady ready) {
      current.onReady(ready.holder());
      endQuietIfReady(current, now);
    }
  }

  /**
   * The registry is complete once the leadership has been proved, which needs all older entries.
   */
  private void endQuietIfReady(ShareOwner current, long now) {
    if (ownerProved) {
      current.endQuietPeriodIfReady(registeredDaemons(), now);
    }
  }

  private Set<String> registeredDaemons() {
    return server.registeredDaemons().stream().map(DaemonId::value).collect(Collectors.toSet());
  }

  @Override
  public void onOwnerMessage(VmId from, byte[] message) {
    List<ShareFrame> batch = decode(message);
    for (ShareFrame frame : batch) {
      if (!(frame instanceof ShareMessage)) {
        throw new IllegalArgumentException("an owner must not send " + frame);
      }
    }
    receiveFromOwner(from, batch);
  }

  private void receiveFromOwner(VmId from, List<ShareFrame> batch) {
    inTurn(
        () -> {
          if (connectedTo.filter(from::equals).isPresent()) {
            toOwner.onAnswer();
            batch.forEach(frame -> middle.onOwnerMessage((ShareMessage) frame, System.nanoTime()));
          }
        });
  }

  /** Leaves the thread to the consensus and to other work between turns. */
  private void inTurn(Runnable work) {
    turns.add(work);
    planTurn();
  }

  private void planTurn() {
    if (nextTurn.isEmpty()) {
      long delayMillis = TimeUnit.NANOSECONDS.toMillis(Math.max(0, turns.delayNanos()));
      nextTurn = Optional.of(reactor.delayBackground(delayMillis, this::turn));
    }
  }

  private void turn() {
    nextTurn = Optional.empty();
    try {
      turns.run();
    } finally {
      // A message that can't be handled must not keep the others waiting.
      flush();
      if (turns.hasWork()) {
        planTurn();
      }
    }
  }

  private void flush() {
    toDaemons.forEach((daemon, batch) -> server.sendShare(daemon, ShareMessageCodec.encode(batch)));
    toDaemons.clear();
    toRelays.forEach(this::flushToRelay);
    toRelays.clear();
  }

  private void flushToRelay(VmId relay, List<ShareFrame> batch) {
    if (relay.equals(self)) {
      receiveFromOwner(self, batch);
    } else {
      server.answerShareOfRelay(relay, ShareMessageCodec.encode(batch));
    }
  }

  private void transmitToOwner(List<ShareFrame> batch) {
    if (connectedTo.isEmpty()) {
      return;
    }
    VmId leader = connectedTo.get();
    if (leader.equals(self)) {
      receiveFromRelay(self, batch);
    } else if (!server.sendShareToOwner(leader, ShareMessageCodec.encode(batch))) {
      // The batch is lost, so the session must end.
      onOwnerLost(leader);
    }
  }

  @Override
  public void onOwnerLost(VmId lost) {
    if (connectedTo.filter(lost::equals).isPresent()) {
      disconnect();
    }
  }

  private void tick() {
    nextTick = reactor.delayBackground(TICK_MILLIS, this::tick);
    long now = System.nanoTime();
    followLeadership(now);
    followLeader(now);
    owner.ifPresent(o -> o.onTick(now));
    middle.onTick(now);
    flush();
  }

  /** Relays may learn of an election and send before the next tick here. */
  private Optional<ShareOwner> currentOwner(long now) {
    if (!log.isLeader()) {
      owner = Optional.empty();
    } else if (owner.isEmpty() || ownerTerm != log.term()) {
      owner = Optional.of(new ShareOwner(times, this::sendToRelay, now));
      ownerTerm = log.term();
      ownerProved = false;
      provedAtNanos = now - TimeUnit.MILLISECONDS.toNanos(PROOF_MILLIS);
      ownerRevision = Revision.NONE;
      LOGGER.log(Level.INFO, "owns the rate shares in term {0}", ownerTerm);
    }
    return owner;
  }

  private void followLeadership(long now) {
    if (currentOwner(now).isEmpty()) {
      return;
    }
    ShareOwner current = owner.get();
    endQuietIfReady(current, now);
    logQuiet(current, now);
    boolean floorsInUse = floorsInUse();
    if (!config.revision().equals(ownerRevision) || floorsInUse != ownerLeavesBurst) {
      ownerRevision = config.revision();
      ownerLeavesBurst = floorsInUse;
      current.setAccounts(
          config.entities().stream()
              .filter(Account.class::isInstance)
              .map(Account.class::cast)
              .filter(Account::isLimited)
              .map(this::withSharedBurst)
              .toList(),
          now);
    }
    if (now - provedAtNanos >= TimeUnit.MILLISECONDS.toNanos(PROOF_MILLIS)) {
      provedAtNanos = now;
      prove(current, now);
    }
  }

  private void logQuiet(ShareOwner current, long now) {
    boolean quiet = current.isInQuietPeriod(now);
    if (quiet && now - quietLoggedNanos >= QUIET_LOG_NANOS) {
      quietLoggedNanos = now;
      LOGGER.log(
          Level.INFO,
          "event=rate-shares-withheld term={0} missingDaemons={1}",
          ownerTerm,
          current.unreadyHolders(registeredDaemons()));
    } else if (!quiet && loggedTerm != ownerTerm) {
      loggedTerm = ownerTerm;
      LOGGER.log(Level.INFO, "event=rate-shares-issued term={0}", ownerTerm);
    }
  }

  /** A fleet that has once been too large for floors stays without: daemons keep to that, too. */
  private boolean floorsInUse() {
    if (mostDaemons <= FloorRateLimiter.MAX_DAEMONS_WITH_FLOOR) {
      mostDaemons = Math.max(mostDaemons, server.registeredDaemons().size());
    }
    return mostDaemons <= FloorRateLimiter.MAX_DAEMONS_WITH_FLOOR;
  }

  /** Leaves a part of the burst to the floors of the daemons while there are any. */
  private Account withSharedBurst(Account account) {
    double part = ownerLeavesBurst ? sharedBurstPart : 1;
    double burst = Math.max(1, account.burstTokens() * part);
    return new Account(account.id(), account.rateTokensPerSecond(), burst, account.weight());
  }

  /** The read index is a heartbeat round to a majority that begins after this call. */
  private void prove(ShareOwner current, long askedAtNanos) {
    log.readIndex(
        new ReplicatedLog.ReadListener() {
          @Override
          public void onCurrent(long index) {
            current.confirmLeadership(askedAtNanos);
            if (owner.filter(current::equals).isPresent()) {
              ownerProved = true;
              endQuietIfReady(current, System.nanoTime());
            }
          }

          @Override
          public void onUnavailable(String cause) {
            // Without a proof the owner stops to issue and to renew.
          }
        });
  }

  private void followLeader(long now) {
    Optional<VmId> leader = log.leader();
    if (connectedTo.isPresent() && (!connectedTo.equals(leader) || connectedTerm != log.term())) {
      disconnect();
    }
    if (connectedTo.isEmpty() && leader.isPresent()) {
      connectedTo = leader;
      connectedTerm = log.term();
      lastSession = Math.max(lastSession + 1, wallClockMicros());
      toOwner.clear();
      middle.onConnected(lastSession, now);
      List.copyOf(readyDaemons).forEach(daemon -> toOwner.add(new HolderReady(daemon.value())));
    }
  }

  private void disconnect() {
    connectedTo = Optional.empty();
    toOwner.clear();
    middle.onDisconnected(System.nanoTime());
  }

  private void sendToRelay(String relay, ShareMessage message) {
    toRelays.computeIfAbsent(new VmId(relay), unused -> new ArrayList<>()).add(message);
  }

  private void sendToDaemon(String daemon, ShareMessage message) {
    toDaemons.computeIfAbsent(new DaemonId(daemon), unused -> new ArrayList<>()).add(message);
  }

  private static List<ShareFrame> decode(byte[] message) {
    try {
      return ShareMessageCodec.decode(message);
    } catch (IOException e) {
      throw new IllegalArgumentException("malformed share message", e);
    }
  }

  /** Sessions of a restarted process must have higher numbers than those before. */
  private static long wallClockMicros() {
    return TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
  }
}
