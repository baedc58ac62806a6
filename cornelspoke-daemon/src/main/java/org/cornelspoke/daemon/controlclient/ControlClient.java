package org.cornelspoke.daemon.controlclient;

import io.activej.reactor.Reactor;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.cornelspoke.coordination.dedup.ClaimClient;
import org.cornelspoke.coordination.dissemination.ControlMessage;
import org.cornelspoke.coordination.dissemination.DepartureRecorder;
import org.cornelspoke.coordination.dissemination.FleetViewSource;
import org.cornelspoke.coordination.dissemination.RelayOrder;
import org.cornelspoke.coordination.dissemination.TargetPublisher;
import org.cornelspoke.coordination.dissemination.ViewTracker;
import org.cornelspoke.coordination.quarantine.CrashReporter;
import org.cornelspoke.coordination.quarantine.Quarantine;
import org.cornelspoke.coordination.quarantine.QuarantineSource;
import org.cornelspoke.coordination.quarantine.QuarantineTracker;
import org.cornelspoke.model.CallId;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.protocol.control.ControlCodec;
import org.cornelspoke.state.claim.ClaimKey;
import org.cornelspoke.state.claim.StoredResponse;
import org.cornelspoke.state.quarantine.CrashReport;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.view.FleetView;
import org.cornelspoke.transport.link.FrameConnection;
import org.cornelspoke.transport.link.FrameListener;
import org.cornelspoke.util.Assert;

/**
 * Keeps a daemon attached to a relay and provides traffic threads with the latest fleet view.
 *
 * <p>Runs on the control thread, which is the thread of its reactor. {@link #current}, {@link
 * #isFresh}, {@link #publish} and {@link #withdraw} may be called by any thread, the methods of
 * {@link ClaimClient} by any reactor thread, all others on the control thread only.
 */
public final class ControlClient
    implements FleetViewSource,
        ClaimClient,
        TargetPublisher,
        QuarantineSource,
        CrashReporter,
        DepartureRecorder {

  private static final System.Logger LOGGER = System.getLogger(ControlClient.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long TICK_INTERVAL_MILLIS = 100;

  /** Shorter, because a daemon without a relay gets no rate shares and soon refuses requests. */
  private static final long DETACHED_TICK_INTERVAL_MILLIS = 20;

  /** Two round trips between distant regions; a VM without power does not reply at all. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(200);

  /** Several queries per freshness bound, so that one slow reply does not make the view stale. */
  private static final int QUERIES_PER_BOUND = 4;

  /** Limits the number of known relay addresses as control VMs are added and removed. */
  private static final int MAX_RELAYS = 256;

  /**
   * Upper limit of the query interval. A relay closes the connection to a daemon that is silent for
   * 3 s, and a daemon leaves a relay that does not reply to its queries.
   */
  private static final long MAX_QUERY_INTERVAL_MILLIS = 200;

  private final NioReactor reactor;
  private final List<InetSocketAddress> relays;
  private final long freshnessBoundNanos;
  private final long queryIntervalNanos;
  private final LongSupplier nanoClock;
  private final Optional<ShareListener> shareListener;
  private final Consumer<FleetView> viewListener;
  private final ViewTracker tracker;
  private final PendingClaims pendingClaims;
  private final Map<TargetId, Target> publishedTargets = new LinkedHashMap<>();
  private final QuarantineTracker quarantineTracker = new QuarantineTracker();
  private Consumer<List<String>> departureListener = processes -> {};
  private RelayLink link;
  private ScheduledRunnable nextTick;
  private boolean running;
  private boolean viewUpdateScheduled;
  private long lastQueryAtNanos;
  private long receivedBytes;
  private long receivedFrames;
  private long sentBytes;
  private long sentFrames;
  private volatile Quarantine quarantine = Quarantine.EMPTY;
  private volatile PublishedState publishedState =
      new PublishedState(FleetView.EMPTY, Optional.empty());

  /** The state visible to traffic threads; replaced atomically. */
  private record PublishedState(FleetView view, Optional<Long> freshAsOfNanos) {}

  private ControlClient(Builder builder) {
    this.reactor = Assert.notNull(builder.reactor, "reactor");
    this.relays = new ArrayList<>(builder.relays);
    this.freshnessBoundNanos = builder.freshnessBoundMillis * NANOS_PER_MILLI;
    this.queryIntervalNanos =
        Math.min(
            freshnessBoundNanos / QUERIES_PER_BOUND, MAX_QUERY_INTERVAL_MILLIS * NANOS_PER_MILLI);
    this.nanoClock = builder.nanoClock;
    this.shareListener = Optional.ofNullable(builder.shareListener);
    this.viewListener = builder.viewListener;
    this.tracker =
        new ViewTracker(
            builder.daemon,
            builder.dataCentre,
            relays.size(),
            builder.services,
            freshnessBoundNanos,
            builder.relayOrder,
            builder.random);
    this.pendingClaims = new PendingClaims(reactor, nanoClock, this::send);
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Starts to connect to relays. */
  public void start() {
    Assert.isTrue(!running, "start must be called once");
    running = true;
    tick();
  }

  /**
   * Adds a relay, unless it is already known. If too many are known, it takes the place of one that
   * has left the control group.
   */
  public void addRelay(InetSocketAddress relay) {
    if (relays.contains(relay)) {
      return;
    }
    if (relays.size() < MAX_RELAYS) {
      relays.add(relay);
      tracker.setRelayCount(relays.size());
    } else {
      tracker.reuseRelay().ifPresent(number -> relays.set(number, relay));
    }
  }

  private void setMembers(ControlMessage.Relays members) {
    Set<Integer> numbers = new HashSet<>();
    for (Endpoint endpoint : members.endpoints()) {
      InetSocketAddress address = endpoint.toSocketAddress();
      addRelay(address);
      numbers.add(relays.indexOf(address));
    }
    tracker.setMembers(numbers);
  }

  /** Closes the connection. The last view remains available and becomes stale. */
  public void stop() {
    running = false;
    if (nextTick != null) {
      nextTick.cancel();
    }
    if (link != null) {
      link.close();
    }
  }

  @Override
  public FleetView current() {
    return publishedState.view();
  }

  @Override
  public boolean isFresh(long nowNanos) {
    Optional<Long> asOf = publishedState.freshAsOfNanos();
    return asOf.isPresent() && nowNanos - asOf.get() <= freshnessBoundNanos;
  }

  /** Returns the age of the freshness proof, or empty before the first one. */
  public Optional<Long> freshnessAgeNanos(long nowNanos) {
    return publishedState.freshAsOfNanos().map(asOf -> nowNanos - asOf);
  }

  @Override
  public void claim(
      ClaimKey key,
      CallId attempt,
      String fingerprintHex,
      long deadlineNanos,
      ClaimClient.Listener listener) {
    Reactor callerReactor = Reactor.getCurrentReactor();
    reactor.execute(
        () ->
            pendingClaims.claim(
                key,
                attempt,
                fingerprintHex,
                deadlineNanos,
                outcome -> callerReactor.execute(() -> listener.onOutcome(outcome))));
  }

  @Override
  public void complete(ClaimKey key, CallId attempt, Optional<StoredResponse> answer) {
    reactor.execute(
        () ->
            pendingClaims.sendEnd(
                id -> new ControlMessage.ClaimComplete(id, key, attempt, answer)));
  }

  @Override
  public void release(ClaimKey key, CallId attempt) {
    reactor.execute(
        () -> pendingClaims.sendEnd(id -> new ControlMessage.ClaimRelease(id, key, attempt)));
  }

  @Override
  public Quarantine quarantine() {
    return quarantine;
  }

  @Override
  public void reportCrash(CrashReport report) {
    reactor.execute(
        () -> pendingClaims.sendEnd(id -> new ControlMessage.CrashObserved(id, report)));
  }

  @Override
  public void reportResponse(RequestFingerprint fingerprint) {
    reactor.execute(
        () -> pendingClaims.sendEnd(id -> new ControlMessage.ResponseObserved(id, fingerprint)));
  }

  /** Sets the listener that receives the departed processes beside this daemon as they change. */
  public void setDepartureListener(Consumer<List<String>> listener) {
    departureListener = Assert.notNull(listener, "listener");
  }

  @Override
  public void recordDeparture(String process, Runnable onRecorded) {
    Reactor callerReactor = Reactor.getCurrentReactor();
    Runnable onConfirmed = () -> callerReactor.execute(onRecorded);
    reactor.execute(
        () -> {
          if (isAttached() && link.acceptsCrashReports && !link.acceptsDepartures) {
            // The relay belongs to an earlier version, which records no departures.
            onConfirmed.run();
          } else {
            pendingClaims.sendEnd(
                id -> new ControlMessage.ProcessDeparted(id, process), onConfirmed);
          }
        });
  }

  @Override
  public void publish(Target target) {
    reactor.execute(
        () -> {
          if (!target.equals(publishedTargets.put(target.id(), target))) {
            send(new ControlMessage.Announce(List.copyOf(publishedTargets.values())));
          }
        });
  }

  @Override
  public void withdraw(TargetId target) {
    reactor.execute(
        () -> {
          if (publishedTargets.remove(target) != null) {
            send(new ControlMessage.Withdraw(List.of(target)));
          }
        });
  }

  /** Sends a message about rate shares to the current relay; returns false if there is none. */
  public boolean sendShareMessage(byte[] message) {
    if (link == null || link.connection == null) {
      return false;
    }
    send(new ControlMessage.ShareEnvelope(message));
    return true;
  }

  /** Returns true while there is a connection to a relay. */
  public boolean isAttached() {
    return link != null && link.connection != null;
  }

  /** Returns the total size of all received frames in bytes, without the length prefixes. */
  public long receivedBytes() {
    return receivedBytes;
  }

  /** Returns the total size of all sent frames in bytes, without the length prefixes. */
  public long sentBytes() {
    return sentBytes;
  }

  /** Returns the number of frames received. */
  public long receivedFrames() {
    return receivedFrames;
  }

  /** Returns the number of frames sent. */
  public long sentFrames() {
    return sentFrames;
  }

  private void tick() {
    if (!running) {
      return;
    }
    try {
      maintainLink(nanoClock.getAsLong());
      pendingClaims.onTick();
    } finally {
      long delayMillis = isAttached() ? TICK_INTERVAL_MILLIS : DETACHED_TICK_INTERVAL_MILLIS;
      nextTick = reactor.delayBackground(delayMillis, this::tick);
    }
  }

  private void maintainLink(long nowNanos) {
    if (link != null && tracker.mustLeave(nowNanos)) {
      LOGGER.log(Level.INFO, "leaving relay {0}: it does not renew freshness", link.address);
      link.close();
    } else if (link != null && tracker.shouldReturnToPreferred(nowNanos)) {
      LOGGER.log(Level.INFO, "leaving relay {0} for a preferred one", link.address);
      link.leavingForPreferred = true;
      link.close();
    }
    if (link == null) {
      OptionalInt relay = tracker.nextRelay(nowNanos);
      if (relay.isPresent()) {
        link = new RelayLink(relays.get(relay.getAsInt()));
        link.connect();
      }
    } else if (link.connection != null
        && (tracker.isRelayUnproven() || nowNanos - lastQueryAtNanos >= queryIntervalNanos)) {
      lastQueryAtNanos = nowNanos;
      send(tracker.nextQuery(nowNanos));
    }
  }

  private void send(ControlMessage message) {
    if (isAttached()
        && (link.acceptsCrashReports || !isAboutQuarantine(message))
        && (link.acceptsDepartures || !(message instanceof ControlMessage.ProcessDeparted))) {
      byte[] frame = ControlCodec.encode(message);
      sentBytes += frame.length;
      sentFrames++;
      link.connection.send(frame);
    }
  }

  /** Relays of earlier versions close the connection when they receive such a message. */
  private static boolean isAboutQuarantine(ControlMessage message) {
    return message instanceof ControlMessage.QuarantineQuery
        || message instanceof ControlMessage.CrashObserved
        || message instanceof ControlMessage.ResponseObserved;
  }

  private void receive(ControlMessage message) {
    if (message instanceof ControlMessage.ClaimReply reply) {
      pendingClaims.onReply(reply);
    } else if (message instanceof ControlMessage.ClaimEndReply reply) {
      pendingClaims.onEndReply(reply);
    } else if (message instanceof ControlMessage.Relays relayList) {
      setMembers(relayList);
      subscribeQuarantine(relayList);
      subscribeDepartures(relayList);
    } else if (message instanceof ControlMessage.Departures departures) {
      departureListener.accept(departures.processes());
    } else if (message instanceof ControlMessage.QuarantineUpdate update) {
      if (quarantineTracker.apply(update, nanoClock.getAsLong())) {
        quarantine = quarantineTracker.current();
      }
    } else if (message instanceof ControlMessage.ShareEnvelope share) {
      shareListener.ifPresent(listener -> listener.onMessage(share.content()));
    } else {
      if (!tracker.receive(message, nanoClock.getAsLong())) {
        LOGGER.log(
            Level.INFO, "leaving relay {0}: its updates are missing or out of date", link.address);
        link.close();
      }
      scheduleViewUpdate();
    }
  }

  private void subscribeQuarantine(ControlMessage.Relays relayList) {
    if (relayList.acceptsCrashReports() && isAttached() && !link.acceptsCrashReports) {
      link.acceptsCrashReports = true;
      send(new ControlMessage.QuarantineQuery(quarantineTracker.version()));
      pendingClaims.resendEnds();
    }
  }

  private void subscribeDepartures(ControlMessage.Relays relayList) {
    if (relayList.acceptsDepartures() && isAttached() && !link.acceptsDepartures) {
      link.acceptsDepartures = true;
      send(new ControlMessage.DeparturesQuery());
      pendingClaims.resendEnds();
    }
  }

  /** Publishes the view after all messages of one socket read have been applied. */
  private void scheduleViewUpdate() {
    if (!viewUpdateScheduled) {
      viewUpdateScheduled = true;
      reactor.postLast(
          () -> {
            viewUpdateScheduled = false;
            FleetView previousView = publishedState.view();
            publishedState = new PublishedState(tracker.view(), tracker.freshAsOfNanos());
            if (publishedState.view() != previousView) {
              viewListener.accept(publishedState.view());
            }
            tracker.updateSubscription().ifPresent(this::send);
          });
    }
  }

  /** A connection attempt and the resulting connection. */
  private final class RelayLink implements FrameListener {

    private final InetSocketAddress address;
    private FrameConnection connection;
    private boolean closed;
    private boolean leavingForPreferred;
    private boolean acceptsCrashReports;
    private boolean acceptsDepartures;

    RelayLink(InetSocketAddress address) {
      this.address = address;
    }

    void connect() {
      FrameConnection.connect(reactor, address, CONNECT_TIMEOUT)
          .whenResult(this::onConnected)
          .whenException(e -> onClosed(e));
    }

    void close() {
      if (connection != null) {
        connection.close();
      } else {
        onClosed(new IllegalStateException("closed while connecting"));
      }
    }

    @Override
    public void onFrame(byte[] frame) {
      receivedBytes += frame.length;
      receivedFrames++;
      receive(ControlCodec.decode(frame));
    }

    @Override
    public void onClosed(Exception cause) {
      if (closed) {
        return;
      }
      closed = true;
      link = null;
      if (leavingForPreferred) {
        tracker.onLeftForPreferred();
      } else {
        tracker.onDisconnected(nanoClock.getAsLong());
      }
      if (connection != null) {
        connection = null;
        LOGGER.log(Level.INFO, "detached from relay {0}: {1}", address, cause.getMessage());
        shareListener.ifPresent(ShareListener::onDetached);
      }
    }

    private void onConnected(FrameConnection newConnection) {
      if (closed) {
        newConnection.close();
        return;
      }
      connection = newConnection;
      newConnection.start(this);
      long nowNanos = nanoClock.getAsLong();
      lastQueryAtNanos = nowNanos;
      tracker.onConnected(nowNanos).forEach(ControlClient.this::send);
      // Even an empty announcement is needed: it removes targets announced before a restart.
      send(new ControlMessage.Announce(List.copyOf(publishedTargets.values())));
      pendingClaims.onAttached();
      LOGGER.log(Level.INFO, "attached to relay {0}", address);
      shareListener.ifPresent(ShareListener::onAttached);
    }
  }

  /** Builds a {@link ControlClient}. */
  public static final class Builder {

    private NioReactor reactor;
    private DaemonId daemon;
    private DataCentreId dataCentre;
    private List<InetSocketAddress> relays = List.of();
    private Set<ServiceName> services = Set.of();
    private long freshnessBoundMillis = 3_000;
    private RelayOrder relayOrder = RelayOrder.LISTED;
    private ShareListener shareListener;
    private Consumer<FleetView> viewListener = view -> {};
    private LongSupplier nanoClock = System::nanoTime;
    private RandomGenerator random = new SplittableRandom();

    private Builder() {}

    /** Sets the event loop of the control thread. */
    public Builder withReactor(NioReactor value) {
      this.reactor = value;
      return this;
    }

    /** Sets the id of this daemon. */
    public Builder withDaemon(DaemonId value) {
      this.daemon = value;
      return this;
    }

    /** Sets the data centre of this daemon. */
    public Builder withDataCentre(DataCentreId value) {
      this.dataCentre = value;
      return this;
    }

    /** Sets the relay addresses. */
    public Builder withRelays(List<InetSocketAddress> value) {
      this.relays = List.copyOf(value);
      return this;
    }

    /** Sets the order of preference of the relays; by default, the order given. */
    public Builder withRelayOrder(RelayOrder value) {
      this.relayOrder = Assert.notNull(value, "value");
      return this;
    }

    /** Sets the services to subscribe to; by default, all routed services. */
    public Builder withServices(Set<ServiceName> value) {
      this.services = Set.copyOf(value);
      return this;
    }

    /** Sets the age of the freshness proof above which the view is stale. */
    public Builder withFreshnessBoundMillis(long value) {
      Assert.isTrue(value > 0, "freshnessBoundMillis must be positive");
      this.freshnessBoundMillis = value;
      return this;
    }

    /** Sets the receiver of messages about rate shares. */
    public Builder withShareListener(ShareListener value) {
      this.shareListener = value;
      return this;
    }

    /** Sets the listener that is called on the control thread after a new view is published. */
    public Builder withViewListener(Consumer<FleetView> value) {
      this.viewListener = value;
      return this;
    }

    /** Sets the monotonic clock. */
    public Builder withNanoClock(LongSupplier value) {
      this.nanoClock = value;
      return this;
    }

    /** Sets the random generator for jitter. */
    public Builder withRandom(RandomGenerator value) {
      this.random = value;
      return this;
    }

    /** Builds the client. */
    public ControlClient build() {
      return new ControlClient(this);
    }
  }
}
