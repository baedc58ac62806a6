package org.cornelspoke.daemon.relay;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.cornelspoke.coordination.consensus.ReplicatedLog;
import org.cornelspoke.coordination.dissemination.AttachmentTracker;
import org.cornelspoke.coordination.dissemination.ControlMessage;
import org.cornelspoke.coordination.dissemination.DaemonStatus;
import org.cornelspoke.coordination.dissemination.RelaySession;
import org.cornelspoke.coordination.dissemination.RelaySessions;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;
import org.cornelspoke.protocol.control.ControlCodec;
import org.cornelspoke.state.machine.ControlStateMachine;
import org.cornelspoke.transport.link.FrameConnection;
import org.cornelspoke.transport.link.FrameServer;
import org.cornelspoke.util.Assert;

/**
 * Serves the daemons that are attached to this control VM, and other relays.
 *
 * <p>Must be used on the control thread only, which is the thread of its reactor.
 */
public final class RelayServer {

  /** Unsent bytes above which a daemon is sent no further updates until its next query. */
  private static final int MAX_PENDING_UPDATE_BYTES = 1 << 20;

  private static final System.Logger LOGGER = System.getLogger(RelayServer.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long TICK_INTERVAL_MILLIS = 100;

  /** About a seventh of the usual freshness bound; adds at most this much to a daemon's age. */
  private static final long READ_INDEX_INTERVAL_MILLIS = 400;

  /** The read index is requested again after this time without a result. */
  private static final long READ_INDEX_TIMEOUT_MILLIS = 1_000;

  /** Daemons send a query at least every 500 ms, so this tolerates the loss of several queries. */
  private static final long SESSION_TIMEOUT_MILLIS = 3_000;

  private static final int STATUSES_PER_MESSAGE = 1_000;

  private final NioReactor reactor;
  private final ReplicatedLog log;
  private final ControlStateMachine machine;
  private final Optional<ShareEndpoint> shareEndpoint;
  private final LongSupplier nanoClock;
  private final long reportIntervalMillis;
  private final RelaySessions sessions;
  private final AttachmentTracker attachmentTracker;
  private final RegistryWriter registryWriter;
  private final ClaimService claimService;
  private final QuarantineService quarantineService;
  private final DepartureService departureService;
  private final PeerLinks peerLinks;
  private final FrameServer server;
  private final IdentityHashMap<RelaySession, FrameConnection> connections =
      new IdentityHashMap<>();
  private final Set<FrameConnection> peerConnections = new HashSet<>();
  private final Map<VmId, FrameConnection> connectionsByRelay = new HashMap<>();
  private final Map<Long, StatusCollector> statusCollectors = new HashMap<>();
  private Optional<ControlMessage.Relays> relayList = Optional.empty();
  private long lastStatusCorrelationId;
  private ScheduledRunnable nextTick;
  private boolean running;
  private boolean flushScheduled;
  private long readIndexRequestedAtNanos;
  private boolean readIndexInFlight;
  private long lastReportAtNanos;
  private long sentBytes;

  private RelayServer(Builder builder) {
    this.reactor = Assert.notNull(builder.reactor, "reactor");
    this.log = Assert.notNull(builder.log, "log");
    this.machine = Assert.notNull(builder.machine, "machine");
    this.shareEndpoint = Optional.ofNullable(builder.shareEndpoint);
    this.nanoClock = builder.nanoClock;
    long leaseNanos = builder.targetLeaseMillis * NANOS_PER_MILLI;
    // Send several reports per lease, so that the loss of one does not remove any targets.
    this.reportIntervalMillis = Math.max(TICK_INTERVAL_MILLIS, builder.targetLeaseMillis / 10);
    this.sessions =
        new RelaySessions(
            Assert.notNull(builder.vm, "vm"),
            machine.config(),
            machine.registry(),
            machine.quarantine());
    this.attachmentTracker = new AttachmentTracker(leaseNanos);
    this.registryWriter =
        new RegistryWriter(
            log,
            machine.registry(),
            sessions,
            attachmentTracker,
            SESSION_TIMEOUT_MILLIS * NANOS_PER_MILLI,
            nanoClock);
    RetryingLog retryingLog = new RetryingLog(reactor, log, nanoClock);
    this.claimService = new ClaimService(retryingLog, nanoClock, builder.wallClockMillis);
    this.departureService = new DepartureService(retryingLog, nanoClock, builder.wallClockMillis);
    this.quarantineService =
        new QuarantineService(
            retryingLog, machine.quarantine(), nanoClock, builder.wallClockMillis);
    this.peerLinks =
        new PeerLinks(
            reactor,
            builder.vm,
            builder.peers,
            this::receivePeerReply,
            vm -> shareEndpoint.ifPresent(endpoint -> endpoint.onOwnerLost(vm)),
            nanoClock);
    this.server =
        new FrameServer(
            reactor,
            Assert.notNull(builder.relayAddress, "relayAddress"),
            connection -> connection.start(new RelayConnection(this, connection)));
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Starts to accept connections and to confirm freshness.
   *
   * @throws IOException if the relay address is in use
   */
  public void start() throws IOException {
    server.start();
    running = true;
    machine.setChangeListener(this::scheduleFlush);
    tick();
  }

  /** Stops accepting connections and closes all of them; daemons move to other relays. */
  public void stop() {
    running = false;
    if (nextTick != null) {
      nextTick.cancel();
    }
    machine.setChangeListener(() -> {});
    server.stop();
    peerLinks.stop();
    List.copyOf(connections.values()).forEach(FrameConnection::close);
    List.copyOf(peerConnections).forEach(FrameConnection::close);
  }

  /**
   * Updates the peers after a change of the control group, and sends the new relays to all daemons.
   *
   * @param newPeers relay addresses of the other group members
   * @param localEndpoint address at which daemons reach this relay
   */
  public void setPeers(Map<VmId, InetSocketAddress> newPeers, Endpoint localEndpoint) {
    peerLinks.setAddresses(newPeers);
    List<Endpoint> endpoints = new ArrayList<>(List.of(localEndpoint));
    newPeers
        .values()
        .forEach(
            address -> endpoints.add(new Endpoint(address.getHostString(), address.getPort())));
    relayList = Optional.of(new ControlMessage.Relays(endpoints));
    connections.values().forEach(this::sendRelayList);
  }

  private void sendRelayList(FrameConnection connection) {
    relayList.ifPresent(
        message -> {
          // First, so that a daemon never takes this relay for one that knows crash reports only.
          send(connection, message.withDepartures());
          send(connection, message);
        });
  }

  /** Returns the bound address, with the port that the system chose if port 0 was given. */
  public InetSocketAddress boundAddress() {
    return server.boundAddress();
  }

  /** Sends a message about rate shares; returns false if the daemon is not attached here. */
  public boolean sendShareMessage(DaemonId daemon, byte[] message) {
    Optional<RelaySession> session = sessions.session(daemon);
    session.ifPresent(s -> send(connections.get(s), new ControlMessage.ShareEnvelope(message)));
    return session.isPresent();
  }

  /** Sends a message about rate shares to the owner; returns false if it can't be sent. */
  public boolean sendShareMessageToOwner(VmId owner, byte[] message) {
    return peerLinks.send(owner, new ControlMessage.ShareEnvelope(message));
  }

  /**
   * Replies to a relay over the connection that the relay opened. Both directions then fail
   * together, and the relay detects every loss. Does nothing if there is no connection.
   */
  public void sendShareReplyToRelay(VmId relay, byte[] message) {
    FrameConnection connection = connectionsByRelay.get(relay);
    if (connection != null) {
      send(connection, new ControlMessage.ShareEnvelope(message));
    }
  }

  /** Returns the daemons that are attached to this relay. */
  public List<DaemonStatus> attachedDaemons() {
    return sessions.daemonStatuses(nanoClock.getAsLong());
  }

  /** Returns the time since this relay was last proven current, or empty if it never was. */
  public Optional<Long> freshnessAgeNanos() {
    return sessions.freshnessAgeNanos(nanoClock.getAsLong());
  }

  /** Returns the daemons with registered targets. */
  public Set<DaemonId> registeredDaemons() {
    return machine.registry().daemons();
  }

  /** Returns a number that changes with every change of the registered targets. */
  public long registryVersion() {
    return machine.registry().version();
  }

  /** Returns the total size of all sent frames in bytes, without the length prefixes. */
  public long sentBytes() {
    return sentBytes;
  }

  /**
   * Queries every other relay for its attached daemons.
   *
   * @return the complete replies received within the timeout, by relay
   */
  Promise<Map<VmId, List<DaemonStatus>>> queryPeerDaemons(long timeoutMillis) {
    long correlationId = ++lastStatusCorrelationId;
    StatusCollector collector = new StatusCollector(peerLinks.peerIds());
    statusCollectors.put(correlationId, collector);
    for (VmId peer : peerLinks.peerIds()) {
      peerLinks.send(peer, new ControlMessage.StatusQuery(correlationId));
    }
    reactor.delayBackground(
        timeoutMillis,
        () -> {
          statusCollectors.remove(correlationId);
          collector.finish();
        });
    return collector.promise;
  }

  Set<VmId> peerIds() {
    return peerLinks.peerIds();
  }

  RelaySession attach(ControlMessage.ControlHello hello, FrameConnection connection) {
    sessions.session(hello.daemon()).ifPresent(previous -> connections.get(previous).close());
    RelaySession session = sessions.attach(hello, nanoClock.getAsLong());
    connections.put(session, connection);
    sendRelayList(connection);
    shareEndpoint.ifPresent(endpoint -> endpoint.onAttached(hello.daemon()));
    return session;
  }

  void detach(RelaySession session) {
    connections.remove(session);
    if (sessions.detach(session)) {
      shareEndpoint.ifPresent(endpoint -> endpoint.onDetached(session.daemon()));
    }
  }

  void attachPeer(VmId vm, FrameConnection connection) {
    peerConnections.add(connection);
    FrameConnection previous = connectionsByRelay.put(vm, connection);
    if (previous != null) {
      // The relay has lost it; its end may never arrive here.
      previous.close();
    }
  }

  void detachPeer(VmId vm, FrameConnection connection) {
    peerConnections.remove(connection);
    connectionsByRelay.remove(vm, connection);
  }

  void receive(RelaySession session, FrameConnection connection, ControlMessage message) {
    sessions.recordMessage(session, nanoClock.getAsLong());
    if (message instanceof ControlMessage.FreshnessQuery query) {
      sendAll(connection, sessions.handleQuery(session, query, nanoClock.getAsLong()));
    } else if (message instanceof ControlMessage.Subscribe subscribe) {
      sessions.subscribe(session, subscribe);
      sendAll(connection, sessions.takePendingUpdates(session));
    } else if (message instanceof ControlMessage.Announce announce) {
      sessions.announce(session, announce);
      registryWriter.proposeAnnouncedTargets();
    } else if (message instanceof ControlMessage.Withdraw withdraw) {
      sessions.withdraw(session, withdraw);
      registryWriter.proposeAnnouncedTargets();
    } else if (message instanceof ControlMessage.ShareEnvelope share) {
      shareEndpoint.ifPresent(
          endpoint -> endpoint.onDaemonMessage(session.daemon(), share.content()));
    } else if (message instanceof ControlMessage.ClaimRequest request) {
      claimService.place(request, reply -> send(connection, reply));
    } else if (message instanceof ControlMessage.ClaimComplete complete) {
      claimService.complete(complete, reply -> send(connection, reply));
    } else if (message instanceof ControlMessage.ClaimRelease release) {
      claimService.release(release, reply -> send(connection, reply));
    } else if (message instanceof ControlMessage.QuarantineQuery query) {
      sessions.subscribeQuarantine(session, query);
      sendAll(connection, sessions.takePendingUpdates(session));
    } else if (message instanceof ControlMessage.CrashObserved crash) {
      quarantineService.recordCrash(crash, reply -> send(connection, reply));
    } else if (message instanceof ControlMessage.ProcessDeparted departed) {
      departureService.record(session.daemon(), departed, reply -> send(connection, reply));
    } else if (message instanceof ControlMessage.DeparturesQuery) {
      sessions.subscribeDepartures(session);
      sendAll(connection, sessions.takePendingUpdates(session));
    } else if (message instanceof ControlMessage.ResponseObserved response) {
      quarantineService.recordResponse(response, reply -> send(connection, reply));
    } else {
      throw new IllegalArgumentException(
          "a daemon must not send " + message.getClass().getSimpleName());
    }
  }

  void receiveFromPeer(VmId vm, FrameConnection connection, ControlMessage message) {
    if (message instanceof ControlMessage.StatusQuery query) {
      List<DaemonStatus> statuses =
          query.equals(ControlMessage.StatusQuery.PROBE) ? List.of() : attachedDaemons();
      for (int from = 0; from == 0 || from < statuses.size(); from += STATUSES_PER_MESSAGE) {
        int to = Math.min(statuses.size(), from + STATUSES_PER_MESSAGE);
        send(
            connection,
            new ControlMessage.StatusReply(
                query.correlationId(), to == statuses.size(), statuses.subList(from, to)));
      }
    } else if (message instanceof ControlMessage.AttachmentReport report) {
      attachmentTracker.markAttached(report.daemons(), nanoClock.getAsLong());
    } else if (message instanceof ControlMessage.ShareEnvelope share) {
      shareEndpoint.ifPresent(endpoint -> endpoint.onRelayMessage(vm, share.content()));
    } else {
      throw new IllegalArgumentException(
          "a relay must not send " + message.getClass().getSimpleName());
    }
  }

  private void receivePeerReply(VmId vm, ControlMessage message) {
    if (message instanceof ControlMessage.ShareEnvelope share) {
      shareEndpoint.ifPresent(endpoint -> endpoint.onOwnerMessage(vm, share.content()));
    } else if (message instanceof ControlMessage.StatusReply reply) {
      StatusCollector collector = statusCollectors.get(reply.correlationId());
      if (collector != null) {
        collector.add(vm, reply);
      }
    } else {
      throw new IllegalArgumentException(
          "a relay must not send " + message.getClass().getSimpleName());
    }
  }

  private void tick() {
    if (!running) {
      return;
    }
    // Scheduled first, so that an exception does not end the ticks.
    nextTick = reactor.delayBackground(TICK_INTERVAL_MILLIS, this::tick);
    long nowNanos = nanoClock.getAsLong();
    confirmFreshness(nowNanos);
    peerLinks.onTick();
    registryWriter.proposeAnnouncedTargets();
    for (RelaySession session :
        sessions.silentSessions(SESSION_TIMEOUT_MILLIS * NANOS_PER_MILLI, nowNanos)) {
      LOGGER.log(
          Level.INFO, "no message from daemon {0}; closing its connection", session.daemon());
      connections.get(session).close();
    }
    if (nowNanos - lastReportAtNanos >= reportIntervalMillis * NANOS_PER_MILLI) {
      lastReportAtNanos = nowNanos;
      reportAttachedDaemons();
    }
  }

  private void confirmFreshness(long nowNanos) {
    long sinceRequestMillis = (nowNanos - readIndexRequestedAtNanos) / NANOS_PER_MILLI;
    if (sinceRequestMillis
        < (readIndexInFlight ? READ_INDEX_TIMEOUT_MILLIS : READ_INDEX_INTERVAL_MILLIS)) {
      return;
    }
    readIndexRequestedAtNanos = nowNanos;
    readIndexInFlight = true;
    log.readIndex(
        new ReplicatedLog.ReadListener() {
          @Override
          public void onCurrent(long index) {
            sessions.confirmCurrent(nowNanos);
            onDone();
          }

          @Override
          public void onUnavailable(String cause) {
            onDone();
          }

          private void onDone() {
            if (readIndexRequestedAtNanos == nowNanos) {
              readIndexInFlight = false;
            }
          }
        });
  }

  private void reportAttachedDaemons() {
    List<DaemonId> attached = sessions.sessions().stream().map(RelaySession::daemon).toList();
    if (!log.isLeader() && !attached.isEmpty()) {
      log.leader()
          .ifPresent(vm -> peerLinks.send(vm, new ControlMessage.AttachmentReport(attached)));
    }
    registryWriter.removeExpiredTargets(attached);
  }

  private void scheduleFlush() {
    if (!flushScheduled) {
      flushScheduled = true;
      reactor.postLast(this::flush);
    }
  }

  private void flush() {
    flushScheduled = false;
    // Daemons at the same revision get the same message objects, so each is encoded only once.
    IdentityHashMap<ControlMessage, byte[]> encoded = new IdentityHashMap<>();
    for (RelaySession session : sessions.sessions()) {
      FrameConnection connection = connections.get(session);
      // A daemon that reads slowly receives the rest as one update with its next query.
      if (connection == null || connection.pendingBytes() > MAX_PENDING_UPDATE_BYTES) {
        continue;
      }
      for (ControlMessage message : sessions.takePendingUpdates(session)) {
        byte[] frame = encoded.computeIfAbsent(message, ControlCodec::encode);
        sentBytes += frame.length;
        connection.send(frame);
      }
    }
  }

  private void sendAll(FrameConnection connection, List<ControlMessage> messages) {
    messages.forEach(message -> send(connection, message));
  }

  private void send(FrameConnection connection, ControlMessage message) {
    byte[] frame = ControlCodec.encode(message);
    sentBytes += frame.length;
    connection.send(frame);
  }

  /** Collects the replies of other relays to one status query. */
  private static final class StatusCollector {

    final SettablePromise<Map<VmId, List<DaemonStatus>>> promise = new SettablePromise<>();
    private final Map<VmId, List<DaemonStatus>> incompleteReplies = new HashMap<>();
    private final Map<VmId, List<DaemonStatus>> completeReplies = new HashMap<>();
    private final int peerCount;

    StatusCollector(Set<VmId> peers) {
      this.peerCount = peers.size();
      if (peerCount == 0) {
        finish();
      }
    }

    void add(VmId vm, ControlMessage.StatusReply reply) {
      incompleteReplies.computeIfAbsent(vm, v -> new ArrayList<>()).addAll(reply.daemons());
      if (reply.last()) {
        completeReplies.put(vm, incompleteReplies.remove(vm));
      }
      if (completeReplies.size() == peerCount) {
        finish();
      }
    }

    void finish() {
      promise.trySet(Map.copyOf(completeReplies));
    }
  }

  /** Builds a {@link RelayServer}. */
  public static final class Builder {

    private NioReactor reactor;
    private VmId vm;
    private InetSocketAddress relayAddress;
    private Map<VmId, InetSocketAddress> peers = Map.of();
    private ReplicatedLog log;
    private ControlStateMachine machine;
    private ShareEndpoint shareEndpoint;
    private long targetLeaseMillis = 10_000;
    private LongSupplier nanoClock = System::nanoTime;
    private LongSupplier wallClockMillis = System::currentTimeMillis;

    private Builder() {}

    /** Sets the event loop of the control thread. */
    public Builder withReactor(NioReactor value) {
      this.reactor = value;
      return this;
    }

    /** Sets the id of this control VM. */
    public Builder withVm(VmId value) {
      this.vm = value;
      return this;
    }

    /** Sets the address that daemons and other relays connect to. */
    public Builder withRelayAddress(InetSocketAddress value) {
      this.relayAddress = value;
      return this;
    }

    /** Sets the relay addresses of the other control VMs. */
    public Builder withPeers(Map<VmId, InetSocketAddress> value) {
      this.peers = Map.copyOf(value);
      return this;
    }

    /** Sets the replicated log. */
    public Builder withLog(ReplicatedLog value) {
      this.log = value;
      return this;
    }

    /** Sets the state machine that the replicated log is applied to. */
    public Builder withMachine(ControlStateMachine value) {
      this.machine = value;
      return this;
    }

    /** Sets the receiver of messages about rate shares. */
    public Builder withShareEndpoint(ShareEndpoint value) {
      this.shareEndpoint = value;
      return this;
    }

    /** Sets the time after which the targets of a daemon without a relay are removed. */
    public Builder withTargetLeaseMillis(long value) {
      Assert.isTrue(value > 0, "targetLeaseMillis must be positive");
      this.targetLeaseMillis = value;
      return this;
    }

    /** Sets the monotonic clock. */
    public Builder withNanoClock(LongSupplier value) {
      this.nanoClock = value;
      return this;
    }

    /** Sets the clock for the timestamps of commands. */
    public Builder withWallClockMillis(LongSupplier value) {
      this.wallClockMillis = value;
      return this;
    }

    /** Builds the server. */
    public RelayServer build() {
      return new RelayServer(this);
    }
  }
}
