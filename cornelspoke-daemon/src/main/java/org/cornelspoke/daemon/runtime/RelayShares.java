package org.cornelspoke.daemon.runtime;

import com.codahale.metrics.MetricRegistry;
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
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.cornelspoke.coordination.consensus.Member;
import org.cornelspoke.coordination.consensus.Membership;
import org.cornelspoke.coordination.consensus.ReplicatedLog;
import org.cornelspoke.coordination.quota.FloorRateLimiter;
import org.cornelspoke.coordination.quota.ShareFrame;
import org.cornelspoke.coordination.quota.ShareFrame.HolderReady;
import org.cornelspoke.coordination.quota.ShareFrame.RelayReady;
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
 * Handles rate shares on a control VM: as a relay it passes shares from the owner to its attached
 * daemons, and on the Raft leader it is also the owner, which divides every account's rate and
 * burst.
 *
 * <p>Must be used on the control thread only.
 */
final class RelayShares implements ShareEndpoint {

  private static final System.Logger LOGGER = System.getLogger(RelayShares.class.getName());

  /**
   * Messages are handled as they arrive; ticks only expire leases, confirm leadership and follow
   * leader changes.
   */
  private static final long TICK_INTERVAL_MILLIS = 50;

  /** Less than half of the time for which a leadership confirmation is valid. */
  private static final long LEADERSHIP_CHECK_INTERVAL_MILLIS = 400;

  /** Minimum interval between batches to the owner; a twentieth of the maximum wait for a token. */
  private static final long MIN_BATCH_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private final NioReactor reactor;
  private final VmId localVmId;
  private final ReplicatedLog replicatedLog;
  private final ConfigState config;
  private final Supplier<Membership> committedMembership;
  private final ShareHolderHistory history;
  private final WithheldRates withheldRates;
  private final ShareLoad load;
  private final ShareTimes times;
  private final double sharedBurstFraction;
  private final ShareRelay shareRelay;
  private final ShareTaskQueue turns = new ShareTaskQueue(System::nanoTime);
  private final BatchSender ownerSender;
  private final Map<DaemonId, List<ShareFrame>> daemonReplies = new LinkedHashMap<>();
  private final Map<VmId, List<ShareFrame>> relayReplies = new LinkedHashMap<>();
  private final Set<DaemonId> readyDaemons = new LinkedHashSet<>();
  private final DeferredBatches deferredBatches = new DeferredBatches();
  private final Map<DaemonId, Long> attachments = new LinkedHashMap<>();
  private long lastAttachment;
  private RelayServer relayServer;
  private boolean historyOpen;
  private Optional<ShareOwner> owner = Optional.empty();
  private long ownerTerm;
  private boolean leadershipConfirmed;
  private Set<VmId> membersInForce = Set.of();
  private Set<String> registeredDaemons = Set.of();
  private long registeredDaemonsVersion = -1;
  private Revision ownerConfigRevision = Revision.NONE;
  private boolean burstReservedForFloors = true;
  private int peakDaemonCount;
  private Optional<VmId> connectedLeader = Optional.empty();
  private long connectedTerm;
  private long lastSessionId;
  private long leadershipCheckedAtNanos;
  private ScheduledRunnable scheduledTick;
  private Optional<ScheduledRunnable> scheduledTurn = Optional.empty();

  RelayShares(
      NioReactor reactor,
      VmId localVmId,
      ReplicatedLog replicatedLog,
      ConfigState config,
      Supplier<Membership> committedMembership,
      ShareHolderHistory history,
      WithheldRates withheldRates,
      MetricRegistry metrics,
      ControlProfile profile) {
    this.committedMembership = committedMembership;
    this.history = history;
    this.withheldRates = withheldRates;
    this.load = new ShareLoad(turns, metrics);
    this.times = profile.shareTimes;
    this.sharedBurstFraction = profile.sharedBurstFraction;
    this.reactor = reactor;
    this.localVmId = localVmId;
    this.replicatedLog = replicatedLog;
    this.config = config;
    this.ownerSender = new BatchSender(reactor, MIN_BATCH_INTERVAL_NANOS, this::sendToOwner);
    this.shareRelay = new ShareRelay(times, ownerSender::add, this::sendToDaemon);
  }

  /**
   * Starts to issue shares. Until {@link #openHistory}, daemons count as holding shares of a former
   * process, and an owner waits for the whole quiet period.
   */
  void start(RelayServer relayServer) {
    this.relayServer = relayServer;
    this.leadershipCheckedAtNanos =
        System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(LEADERSHIP_CHECK_INTERVAL_MILLIS);
    tick();
  }

  /**
   * Reads what former processes of this VM have recorded; called once the data folder is locked.
   *
   * @throws IOException if the history can't be read or written
   */
  void openHistory() throws IOException {
    history.open(System.nanoTime());
    historyOpen = true;
    shareRelay.start(history.formerLeaseNanos(), System.nanoTime());
  }

  void stop() {
    scheduledTick.cancel();
    scheduledTurn.ifPresent(ScheduledRunnable::cancel);
    history.close();
  }

  /** Sets the membership in force; may be called before {@link #start}. */
  void setMembership(Membership membership) {
    membersInForce = vmIds(membership);
  }

  /** Waits until the data folder is no longer written after {@link #stop}. */
  void awaitStopped() throws InterruptedException {
    history.awaitClosed();
  }

  @Override
  public void onAttached(DaemonId daemon) {
    // The daemon's first report opens a new session.
    attachments.put(daemon, ++lastAttachment);
    readyDaemons.remove(daemon);
  }

  @Override
  public void onDetached(DaemonId daemon) {
    // The daemon's share is reclaimed when its lease expires.
    readyDaemons.remove(daemon);
    attachments.remove(daemon);
  }

  @Override
  public void onDaemonMessage(DaemonId daemon, byte[] message) {
    List<ShareFrame> batch = decode(message);
    Long attachment = attachments.get(daemon);
    long arrivedAtNanos = System.nanoTime();
    enqueueWork(
        () -> {
          if (attachment == null || !attachment.equals(attachments.get(daemon))) {
            // The daemon has left meanwhile, so a statement that it is ready may be untrue.
            return;
          }
          // Reply to every batch, even with an empty one: the daemon waits for it before the next.
          daemonReplies.computeIfAbsent(daemon, unused -> new ArrayList<>());
          batch.forEach(frame -> receiveFromDaemon(daemon, frame, arrivedAtNanos));
        });
  }

  private void receiveFromDaemon(DaemonId daemon, ShareFrame frame, long arrivedAtNanos) {
    load.onReceived(frame);
    if (frame instanceof ShareMessage share) {
      shareRelay.onHolderMessage(daemon.value(), share, arrivedAtNanos, System.nanoTime());
    } else {
      readyDaemons.add(daemon);
      if (connectedLeader.isPresent()) {
        ownerSender.add(new HolderReady(daemon.value()));
      }
    }
  }

  @Override
  public void onRelayMessage(VmId relay, byte[] message) {
    receiveFromRelay(relay, decode(message));
  }

  private void receiveFromRelay(VmId relay, List<ShareFrame> batch) {
    enqueueWork(
        () ->
            currentOwner(System.nanoTime())
                .filter(current -> membersInForce.contains(relay))
                .ifPresent(
                    current -> {
                      deferredBatches.add(relay, batch);
                      receiveDeferred(current, relay);
                    }));
  }

  /** Handles the batches of a relay, unless its membership is not known to be committed yet. */
  private void receiveDeferred(ShareOwner current, VmId relay) {
    if (!isServed(relay)) {
      return;
    }
    for (List<ShareFrame> batch : deferredBatches.remove(relay)) {
      relayReplies.computeIfAbsent(relay, unused -> new ArrayList<>());
      batch.forEach(frame -> receiveAsOwner(current, relay, frame));
    }
  }

  private void receiveAsOwner(ShareOwner current, VmId relay, ShareFrame frame) {
    load.onReceived(frame);
    long nowNanos = System.nanoTime();
    if (frame instanceof ShareMessage message) {
      current.onMessage(relay.value(), message, nowNanos);
    } else if (frame instanceof HolderReady ready) {
      current.onReady(ready.holder());
      issueSharesIfReady(current, nowNanos);
    } else if (frame instanceof RelayReady ready) {
      current.onRelayReady(
          relay.value(), TimeUnit.MILLISECONDS.toNanos(ready.unknownMillis()), nowNanos);
      issueSharesIfReady(current, nowNanos);
    }
  }

  /**
   * Ends the period without new shares once all registered daemons or all relays are ready. The
   * registry of daemons and the membership are complete only after leadership is confirmed, which
   * requires that all earlier log entries are applied.
   */
  private void issueSharesIfReady(ShareOwner current, long nowNanos) {
    if (leadershipConfirmed && historyOpen && current.isInQuietPeriod(nowNanos)) {
      updateHistory(nowNanos);
      current.endQuietPeriodIfReady(history.daemons(nowNanos), nowNanos);
      current.endQuietPeriodIfRelaysComplete(history.relays(nowNanos), nowNanos);
    }
  }

  private void updateHistory(long nowNanos) {
    history.update(
        membersInForce.stream().map(VmId::value).collect(Collectors.toSet()),
        registeredDaemons(),
        nowNanos);
  }

  /**
   * Returns whether the owner serves a relay. An owner that served a VM whose addition to the group
   * is not committed, or whose removal is appended, would issue shares to a relay that its
   * successor does not wait for.
   */
  private boolean isServed(VmId relay) {
    return membersInForce.contains(relay) && vmIds(committedMembership.get()).contains(relay);
  }

  private static Set<VmId> vmIds(Membership membership) {
    return membership.members().stream().map(Member::vmId).collect(Collectors.toSet());
  }

  private Set<String> registeredDaemons() {
    // Ticks must not cost more in a larger fleet, and the registry changes seldom.
    if (registeredDaemonsVersion != relayServer.registryVersion()) {
      registeredDaemonsVersion = relayServer.registryVersion();
      registeredDaemons =
          relayServer.registeredDaemons().stream()
              .map(DaemonId::value)
              .collect(Collectors.toUnmodifiableSet());
    }
    return registeredDaemons;
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
    enqueueWork(
        () -> {
          if (connectedLeader.filter(from::equals).isPresent()) {
            ownerSender.onReply();
            batch.forEach(
                frame -> {
                  load.onReceived(frame);
                  shareRelay.onOwnerMessage((ShareMessage) frame, System.nanoTime());
                });
          }
        });
  }

  /**
   * Queues work for the next turn; between turns the thread is free for consensus and other work.
   */
  private void enqueueWork(Runnable work) {
    turns.add(work);
    scheduleTurn();
  }

  private void scheduleTurn() {
    if (scheduledTurn.isEmpty()) {
      long delayMillis = TimeUnit.NANOSECONDS.toMillis(Math.max(0, turns.delayNanos()));
      scheduledTurn = Optional.of(reactor.delayBackground(delayMillis, this::runTurn));
    }
  }

  private void runTurn() {
    scheduledTurn = Optional.empty();
    try {
      turns.run();
    } finally {
      // A message that fails must not delay the replies to the others.
      flush();
      if (turns.hasWork()) {
        scheduleTurn();
      }
    }
  }

  private void flush() {
    daemonReplies.forEach(
        (daemon, batch) -> relayServer.sendShareMessage(daemon, ShareMessageCodec.encode(batch)));
    daemonReplies.clear();
    relayReplies.forEach(this::flushToRelay);
    relayReplies.clear();
  }

  private void flushToRelay(VmId relay, List<ShareFrame> batch) {
    if (relay.equals(localVmId)) {
      receiveFromOwner(localVmId, batch);
    } else {
      relayServer.sendShareReplyToRelay(relay, ShareMessageCodec.encode(batch));
    }
  }

  private void sendToOwner(List<ShareFrame> batch) {
    if (connectedLeader.isEmpty()) {
      return;
    }
    VmId leader = connectedLeader.get();
    if (leader.equals(localVmId)) {
      receiveFromRelay(localVmId, batch);
    } else if (!relayServer.sendShareMessageToOwner(leader, ShareMessageCodec.encode(batch))) {
      // The batch was not sent, so the session must end.
      onOwnerLost(leader);
    }
  }

  @Override
  public void onOwnerLost(VmId lost) {
    if (connectedLeader.filter(lost::equals).isPresent()) {
      disconnect();
    }
  }

  private void tick() {
    scheduledTick = reactor.delayBackground(TICK_INTERVAL_MILLIS, this::tick);
    long nowNanos = System.nanoTime();
    if (historyOpen) {
      updateHistory(nowNanos);
    }
    updateOwner(nowNanos);
    owner.ifPresent(
        current -> deferredBatches.relays().forEach(relay -> receiveDeferred(current, relay)));
    connectToLeader(nowNanos);
    owner.ifPresent(current -> current.onTick(nowNanos));
    shareRelay.onTick(nowNanos);
    load.update(attachments.size(), owner, nowNanos);
    flush();
  }

  /**
   * Returns the owner of the current term, if this VM is the leader, and creates it if needed. Not
   * only ticks do this, because relays may learn of an election and send messages before the next
   * tick.
   */
  private Optional<ShareOwner> currentOwner(long nowNanos) {
    if (!replicatedLog.isLeader()) {
      owner = Optional.empty();
    } else if (owner.isEmpty() || ownerTerm != replicatedLog.term()) {
      owner = Optional.of(new ShareOwner(times, this::sendToRelay, nowNanos));
      ownerTerm = replicatedLog.term();
      deferredBatches.clear();
      leadershipConfirmed = false;
      leadershipCheckedAtNanos =
          nowNanos - TimeUnit.MILLISECONDS.toNanos(LEADERSHIP_CHECK_INTERVAL_MILLIS);
      ownerConfigRevision = Revision.NONE;
      LOGGER.log(Level.INFO, "became owner of the rate shares in term {0}", ownerTerm);
    }
    return owner;
  }

  private void updateOwner(long nowNanos) {
    if (currentOwner(nowNanos).isEmpty()) {
      withheldRates.onNotOwner();
      return;
    }
    ShareOwner current = owner.get();
    issueSharesIfReady(current, nowNanos);
    withheldRates.update(current, ownerTerm, history, nowNanos);
    boolean floorsInUse = floorsInUse();
    if (!config.revision().equals(ownerConfigRevision) || floorsInUse != burstReservedForFloors) {
      ownerConfigRevision = config.revision();
      burstReservedForFloors = floorsInUse;
      current.setAccounts(
          config.entities().stream()
              .filter(Account.class::isInstance)
              .map(Account.class::cast)
              .filter(Account::isLimited)
              .map(this::limitedToSharedBurst)
              .toList(),
          nowNanos);
    }
    if (nowNanos - leadershipCheckedAtNanos
        >= TimeUnit.MILLISECONDS.toNanos(LEADERSHIP_CHECK_INTERVAL_MILLIS)) {
      leadershipCheckedAtNanos = nowNanos;
      confirmLeadership(current, nowNanos);
    }
  }

  /**
   * Returns whether daemons admit requests on rate floors. Once the fleet has been too large for
   * floors they stay disabled, even if it shrinks; the daemons apply the same rule.
   */
  private boolean floorsInUse() {
    if (peakDaemonCount <= FloorRateLimiter.MAX_DAEMONS_WITH_FLOOR) {
      peakDaemonCount = Math.max(peakDaemonCount, registeredDaemons().size());
    }
    return peakDaemonCount <= FloorRateLimiter.MAX_DAEMONS_WITH_FLOOR;
  }

  /**
   * Reserves a fraction of the burst for the rate floors of the daemons while floors are in use.
   */
  private Account limitedToSharedBurst(Account account) {
    double fraction = burstReservedForFloors ? sharedBurstFraction : 1;
    double burst = Math.max(1, account.burstTokens() * fraction);
    return new Account(account.id(), account.rateTokensPerSecond(), burst, account.weight());
  }

  /**
   * Confirms leadership with a read index, a heartbeat round to a majority that starts after this
   * call.
   */
  private void confirmLeadership(ShareOwner current, long requestedAtNanos) {
    replicatedLog.readIndex(
        new ReplicatedLog.ReadListener() {
          @Override
          public void onCurrent(long index) {
            current.confirmLeadership(requestedAtNanos);
            if (owner.filter(current::equals).isPresent()) {
              leadershipConfirmed = true;
              issueSharesIfReady(current, System.nanoTime());
            }
          }

          @Override
          public void onUnavailable(String cause) {
            // Without confirmation the owner stops issuing and renewing shares.
          }
        });
  }

  private void connectToLeader(long nowNanos) {
    Optional<VmId> leader = replicatedLog.leader();
    if (connectedLeader.isPresent()
        && (!connectedLeader.equals(leader) || connectedTerm != replicatedLog.term())) {
      disconnect();
    }
    if (connectedLeader.isEmpty() && leader.isPresent()) {
      connectedLeader = leader;
      connectedTerm = replicatedLog.term();
      lastSessionId = Math.max(lastSessionId + 1, wallClockMicros());
      ownerSender.clear();
      shareRelay.onConnected(lastSessionId, nowNanos);
      ownerSender.add(
          new RelayReady(
              localVmId.value(),
              TimeUnit.NANOSECONDS.toMillis(shareRelay.unknownSharesNanos(nowNanos)) + 1));
      List.copyOf(readyDaemons).forEach(daemon -> ownerSender.add(new HolderReady(daemon.value())));
    }
  }

  private void disconnect() {
    connectedLeader = Optional.empty();
    ownerSender.clear();
    shareRelay.onDisconnected(System.nanoTime());
  }

  private void sendToRelay(String relay, ShareMessage message) {
    load.onSent(message);
    relayReplies.computeIfAbsent(new VmId(relay), unused -> new ArrayList<>()).add(message);
  }

  private void sendToDaemon(String daemon, ShareMessage message) {
    load.onSent(message);
    daemonReplies.computeIfAbsent(new DaemonId(daemon), unused -> new ArrayList<>()).add(message);
  }

  private static List<ShareFrame> decode(byte[] message) {
    try {
      return ShareMessageCodec.decode(message);
    } catch (IOException e) {
      throw new IllegalArgumentException("malformed share message", e);
    }
  }

  /** Returns a base for session numbers, which must increase across restarts of the process. */
  private static long wallClockMicros() {
    return TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
  }
}
