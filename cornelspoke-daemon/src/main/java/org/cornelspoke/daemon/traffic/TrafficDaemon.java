package org.cornelspoke.daemon.traffic;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cornelspoke.coordination.admission.RootRequestThrottle;
import org.cornelspoke.coordination.dedup.ClaimClient;
import org.cornelspoke.coordination.dissemination.DepartureRecorder;
import org.cornelspoke.coordination.dissemination.FleetViewSource;
import org.cornelspoke.coordination.dissemination.TargetPublisher;
import org.cornelspoke.coordination.quarantine.CrashReporter;
import org.cornelspoke.coordination.quarantine.QuarantineSource;
import org.cornelspoke.coordination.quota.RateLimiter;
import org.cornelspoke.coordination.retry.RetryBudgets;
import org.cornelspoke.coordination.retry.RetryThrottles;
import org.cornelspoke.coordination.routing.TargetSelector;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.Verdict;
import org.cornelspoke.protocol.call.CallCodec;
import org.cornelspoke.protocol.context.ContextSigner;
import org.cornelspoke.transport.http.ConnectionLimits;
import org.cornelspoke.transport.http.HeldMemory;
import org.cornelspoke.transport.http.HttpResponse;
import org.cornelspoke.transport.http.HttpServer;
import org.cornelspoke.transport.link.LinkServer;
import org.cornelspoke.transport.loop.ArrivalClock;
import org.cornelspoke.transport.loop.InputBacklog;
import org.cornelspoke.util.Assert;

/**
 * Runs the traffic path of a daemon. The event loop runs on a dedicated thread; collaborators that
 * are not thread-safe are called only on that thread.
 */
public final class TrafficDaemon {

  private static final long HOUSEKEEPING_INTERVAL_MILLIS = 150;
  private static final long STOP_POLL_INTERVAL_MILLIS = 20;
  private static final long SWEEP_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * A connection that has been idle for less than this may have a request in transit, which closing
   * the connection would lose.
   */
  private static final long LAST_REQUEST_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final Collaborators collaborators;
  private final LocalUpstreams upstreams;
  private final PeerLinks links;
  private final CurrentView view;
  private final HttpServer edge;
  private final HttpServer local;
  private final LinkServer linkServer;
  private final Thread thread;
  private final CompletableFuture<Void> stopped = new CompletableFuture<>();
  private long lastSweepNanos = System.nanoTime();
  private final StopState stopState = new StopState();
  private volatile boolean stopping;
  private GracefulStop stop;
  private long closeAtNanos;

  private TrafficDaemon(Collaborators collaborators) {
    this.collaborators = collaborators;
    TrafficSettings settings = collaborators.settings();
    MetricRegistry registry = collaborators.metrics().registry();
    Eventloop reactor = collaborators.reactor();
    InputBacklog backlog = new InputBacklog(reactor, collaborators.arrivalClock());
    CallCodec codec = new CallCodec();
    ContextSigner signer = new ContextSigner();
    ParentCalls parents = new ParentCalls();
    this.upstreams = new LocalUpstreams(collaborators);
    this.links = new PeerLinks(collaborators, codec);
    this.view = new CurrentView(collaborators, upstreams, links);
    LocalCalls localCalls = new LocalCalls(collaborators, upstreams, parents, signer, view);
    ForwardingDependencies forwarding =
        new ForwardingDependencies(
            collaborators,
            upstreams,
            localCalls,
            links,
            new TargetNotices(),
            new SplittableRandom());
    EdgeHandler edgeHandler =
        new EdgeHandler(
            new EdgeDependencies(
                collaborators,
                forwarding,
                parents,
                new Digests(),
                new DecisionLog(registry),
                stopState),
            view,
            signer);
    this.edge =
        new HttpServer(
            reactor,
            settings.edgeAddress().toSocketAddress(),
            settings.maxBodyBytes(),
            edgeHandler,
            registry,
            "edge",
            backlog);
    HeldMemory memory = new HeldMemory(settings.maxBodyBytes(), registry);
    this.edge.withConnectionLimits(collaborators.connectionLimits()).withHeldMemory(memory);
    this.local =
        new HttpServer(
            reactor,
            settings.localAddress().toSocketAddress(),
            LocalApi.MAX_BODY_BYTES,
            collaborators.localApi().create(upstreams),
            registry,
            "local");
    this.linkServer =
        new LinkServer(
            reactor,
            settings.linkAddress().toSocketAddress(),
            settings.daemonId().value(),
            codec,
            settings.maxBodyBytes(),
            localCalls::onIncoming,
            registry,
            backlog);
    this.linkServer.withHeldMemory(memory);
    this.thread = new Thread(reactor, "traffic-" + settings.daemonId());
  }

  /**
   * Returns a builder.
   *
   * @param reactor event loop that is not yet running; the daemon runs it on a dedicated thread
   */
  public static Builder builder(TrafficSettings settings, Eventloop reactor) {
    return new Builder(settings, reactor);
  }

  /**
   * Starts the event loop thread and listens on the edge, link and local addresses.
   *
   * @throws IOException if an address is in use
   */
  public void start() throws IOException {
    Eventloop reactor = collaborators.reactor();
    reactor.keepAlive(true);
    thread.start();
    try {
      reactor.submit(this::listen).get();
    } catch (ExecutionException e) {
      reactor.execute(this::closeAll);
      throw new IOException("can't listen", e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while starting", e);
    }
  }

  /**
   * Stops gracefully: withdraws registrations, notifies peers and callers, completes running
   * requests, then closes all connections. Thread-safe.
   *
   * @return a future that completes when everything is closed
   */
  public CompletableFuture<Void> stop() {
    collaborators.reactor().execute(this::beginStop);
    return stopped.copy();
  }

  /**
   * Sets the upstream processes beside this daemon that the control group knows to leave; to be
   * called on the reactor thread.
   */
  public void setDepartedProcesses(List<String> processes) {
    upstreams.setDepartedProcesses(processes);
  }

  /** Returns true if the daemon has routes and is not stopping. Thread-safe. */
  public boolean isReady() {
    return !stopping && collaborators.views().current().hasRoutes();
  }

  /** Returns the bound address of the edge, with the actual port if port 0 was configured. */
  public InetSocketAddress edgeAddress() {
    return edge.boundAddress();
  }

  /** Returns the bound address for links from other daemons. */
  public InetSocketAddress linkAddress() {
    return linkServer.boundAddress();
  }

  /** Returns the bound address of the announcement API. */
  public InetSocketAddress localAddress() {
    return local.boundAddress();
  }

  private void listen() throws IOException {
    linkServer.start();
    upstreams.setLinkEndpoint(
        new Endpoint(
            collaborators.settings().linkAddress().ip(), linkServer.boundAddress().getPort()));
    local.start();
    edge.start();
    collaborators.timers().setTickListener(() -> upstreams.onTick(System.nanoTime()));
    housekeeping();
  }

  private void housekeeping() {
    // Scheduled first, so that an exception does not end the housekeeping.
    collaborators.reactor().delayBackground(HOUSEKEEPING_INTERVAL_MILLIS, this::housekeeping);
    long now = System.nanoTime();
    view.get();
    upstreams.onTick(now);
    if (now - lastSweepNanos >= SWEEP_INTERVAL_NANOS) {
      lastSweepNanos = now;
      edge.closeTimedOutConnections(now);
      local.closeTimedOutConnections(now);
      linkServer.closeSilentLinks(now);
    }
    links.onTick(now);
  }

  private void beginStop() {
    if (stopping) {
      return;
    }
    stopping = true;
    long now = System.nanoTime();
    TrafficSettings settings = collaborators.settings();
    stop = new GracefulStop(now, settings.drainMillis(), settings.stopTimeoutMillis());
    stopState.begin(stop);
    edge.startClosing();
    local.startClosing();
    long servingMillis = TimeUnit.NANOSECONDS.toMillis(stop.leaveFleetAtNanos() - now);
    collaborators.reactor().delay(servingMillis, this::leaveFleet);
    awaitDrained();
  }

  /**
   * Makes other daemons send their calls to other targets. In a rolling restart, the upstream of a
   * stopping daemon is unavailable until the next process is registered, so this step is delayed to
   * serve calls for as long as possible.
   */
  private void leaveFleet() {
    upstreams.beginStop();
    linkServer.goAway();
  }

  /**
   * Waits until the upstream has no calls in flight. The edge listens until then, because the
   * upstream may still make nested calls; they go to other targets, and each response carries
   * {@code Connection: close}. {@link GracefulStop} decides which requests are accepted.
   */
  private void awaitDrained() {
    long now = System.nanoTime();
    boolean drained = now - stop.drainEndNanos() >= 0 && upstreams.inFlight() == 0;
    if (drained || now - stop.responsesEndNanos() >= 0) {
      edge.stopListening();
      local.stopListening();
      awaitResponses();
    } else {
      collaborators.reactor().delay(STOP_POLL_INTERVAL_MILLIS, this::awaitDrained);
    }
  }

  private void awaitResponses() {
    long now = System.nanoTime();
    edge.closeIdle(now, LAST_REQUEST_GRACE_NANOS);
    local.closeIdle(now, 0);
    boolean allAnswered =
        !edge.isListening()
            && edge.allConnectionsLingering()
            && upstreams.inFlight() == 0
            && linkServer.isIdle();
    if (allAnswered) {
      long finalResponsesEndNanos = now + GracefulStop.FINAL_RESPONSES_NANOS;
      closeAtNanos =
          finalResponsesEndNanos - stop.endNanos() < 0 ? finalResponsesEndNanos : stop.endNanos();
      awaitClosed();
    } else if (now - stop.responsesEndNanos() >= 0) {
      edge.refuseIncomplete(incompleteRequestResponse(now));
      closeAtNanos = stop.endNanos();
      awaitClosed();
    } else {
      collaborators.reactor().delay(STOP_POLL_INTERVAL_MILLIS, this::awaitResponses);
    }
  }

  /** Returns the response to requests that have not been received completely; they never run. */
  private HttpResponse incompleteRequestResponse(long nowNanos) {
    return collaborators
        .dialect()
        .toHttpResponse(
            new DaemonResponse(
                RefusalReason.DRAINING,
                Verdict.NOT_RUN,
                null,
                stop.retryAfterMillis(nowNanos),
                -1));
  }

  /**
   * Waits for callers and peers to close first, because closing a socket with unread bytes makes
   * the kernel discard a response.
   */
  private void awaitClosed() {
    boolean closed = edge.connectionCount() == 0 && linkServer.linkCount() == 0;
    if (closed || System.nanoTime() - closeAtNanos >= 0) {
      closeAll();
    } else {
      collaborators.reactor().delay(STOP_POLL_INTERVAL_MILLIS, this::awaitClosed);
    }
  }

  private void closeAll() {
    links.close();
    linkServer.close();
    edge.closeAll();
    local.closeAll();
    upstreams.close();
    collaborators.reactor().keepAlive(false);
    collaborators.reactor().breakEventloop();
    stopped.complete(null);
  }

  /** Collects the collaborators; those without a default are required. Not thread-safe. */
  public static final class Builder {

    private final TrafficSettings settings;
    private final Eventloop reactor;
    private FleetViewSource views;
    private RateLimiter rateLimiter;
    private ClaimClient claims;
    private GateFactory gates;
    private TargetSelector selector;
    private RetryBudgets ledger;
    private RetryThrottles throttles;
    private HttpDialect dialect = new DefaultDialect();
    private Supplier<RootRequestThrottle> rootThrottles = RootRequestThrottle::none;
    private LocalApiFactory localApi = LocalApi::new;
    private TargetPublisher publisher;
    private ArrivalClock arrivalClock = System::nanoTime;
    private ConnectionLimits connectionLimits = ConnectionLimits.UNLIMITED;
    private QuarantineSource quarantine = QuarantineSource.NONE;
    private CrashReporter crashReporter = CrashReporter.NONE;
    private DepartureRecorder departures = DepartureRecorder.NONE;
    private MetricRegistry metrics;

    private Builder(TrafficSettings settings, Eventloop reactor) {
      this.settings = Assert.notNull(settings, "settings");
      this.reactor = Assert.notNull(reactor, "reactor");
    }

    /** Sets the source of fleet views and the publisher of targets. */
    public Builder withFleet(FleetViewSource newViews, TargetPublisher newPublisher) {
      this.views = newViews;
      this.publisher = newPublisher;
      return this;
    }

    /** Sets the rate limiter, the claim client and the gate factory. */
    public Builder withAdmission(
        RateLimiter newRateLimiter, ClaimClient newClaims, GateFactory newGates) {
      this.rateLimiter = newRateLimiter;
      this.claims = newClaims;
      this.gates = newGates;
      return this;
    }

    /** Sets the target selector. */
    public Builder withSelector(TargetSelector newSelector) {
      this.selector = newSelector;
      return this;
    }

    /** Sets the components that limit retries. */
    public Builder withRetries(RetryBudgets newLedger, RetryThrottles newThrottles) {
      this.ledger = newLedger;
      this.throttles = newThrottles;
      return this;
    }

    /**
     * Sets the supplier of throttles for root requests whose calls fail; each upstream gets its
     * own.
     */
    public Builder withRootThrottles(Supplier<RootRequestThrottle> newRootThrottles) {
      this.rootThrottles = newRootThrottles;
      return this;
    }

    /** Replaces the default HTTP interface for callers and upstreams. */
    public Builder withDialect(HttpDialect newDialect, LocalApiFactory newLocalApi) {
      this.dialect = newDialect;
      this.localApi = newLocalApi;
      return this;
    }

    /** Sets the clock that tells how long received input may have waited on its socket. */
    public Builder withArrivalClock(ArrivalClock newArrivalClock) {
      this.arrivalClock = newArrivalClock;
      return this;
    }

    /** Sets the limits of the connections of callers. */
    public Builder withConnectionLimits(ConnectionLimits newConnectionLimits) {
      this.connectionLimits = newConnectionLimits;
      return this;
    }

    /** Sets the source of requests that crash upstreams and the receiver of crash reports. */
    public Builder withQuarantine(QuarantineSource newQuarantine, CrashReporter newCrashReporter) {
      this.quarantine = newQuarantine;
      this.crashReporter = newCrashReporter;
      return this;
    }

    /** Sets what remembers the departed upstream processes across restarts of this daemon. */
    public Builder withDepartures(DepartureRecorder newDepartures) {
      this.departures = newDepartures;
      return this;
    }

    /** Sets the metric registry. */
    public Builder withMetrics(MetricRegistry newMetrics) {
      this.metrics = newMetrics;
      return this;
    }

    /**
     * Returns the daemon, not yet started.
     *
     * @throws IllegalArgumentException if a collaborator is missing
     */
    public TrafficDaemon build() {
      return new TrafficDaemon(
          new Collaborators(
              reactor,
              settings,
              Assert.notNull(views, "views"),
              Assert.notNull(rateLimiter, "rateLimiter"),
              Assert.notNull(claims, "claims"),
              Assert.notNull(gates, "gates"),
              Assert.notNull(selector, "selector"),
              Assert.notNull(ledger, "ledger"),
              Assert.notNull(throttles, "throttles"),
              Assert.notNull(publisher, "publisher"),
              Assert.notNull(dialect, "dialect"),
              Assert.notNull(rootThrottles, "rootThrottles"),
              Assert.notNull(localApi, "localApi"),
              new TrafficMetrics(Assert.notNull(metrics, "metrics")),
              new Timers(reactor),
              Assert.notNull(arrivalClock, "arrivalClock"),
              Assert.notNull(connectionLimits, "connectionLimits"),
              Assert.notNull(quarantine, "quarantine"),
              Assert.notNull(crashReporter, "crashReporter"),
              Assert.notNull(departures, "departures")));
    }
  }
}
