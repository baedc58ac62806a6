package org.cornelspoke.daemon.traffic;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cornelspoke.coordination.admission.RootRequestThrottle;
import org.cornelspoke.coordination.dedup.ClaimClient;
import org.cornelspoke.coordination.dissemination.FleetViewSource;
import org.cornelspoke.coordination.dissemination.TargetPublisher;
import org.cornelspoke.coordination.quota.RateLimiter;
import org.cornelspoke.coordination.retry.RetryBudgets;
import org.cornelspoke.coordination.retry.RetryThrottles;
import org.cornelspoke.coordination.routing.TargetSelector;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.protocol.call.CallCodec;
import org.cornelspoke.protocol.context.ContextSigner;
import org.cornelspoke.transport.http.HttpServer;
import org.cornelspoke.transport.link.LinkServer;
import org.cornelspoke.util.Assert;

/**
 * The traffic path of a daemon as a service. It runs the event loop on a thread of its own; the
 * collaborators that are not safe for use by several threads are called on that thread only.
 */
public final class TrafficDaemon {

  private static final long HOUSEKEEPING_MILLIS = 150;
  private static final long STOP_POLL_MILLIS = 20;
  private static final long SWEEP_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * A connection that has been silent for less may have a request under way, which a close would
   * cut.
   */
  private static final long LAST_REQUEST_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Time for peers and callers to read the last answers and close; see {@link HttpServer}. */
  private static final long LAST_ANSWERS_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Part of the drain time in which the upstream beside a stopping daemon takes calls. */
  private static final double SERVED_PART = 0.5;

  /** Part of the stop time that is kept for them, so that they don't make the stop longer. */
  private static final double LAST_ANSWERS_PART = 0.15;

  private final Collaborators with;
  private final LocalUpstreams upstreams;
  private final PeerLinks links;
  private final CurrentView view;
  private final HttpServer edge;
  private final HttpServer local;
  private final LinkServer linkServer;
  private final Thread thread;
  private final CompletableFuture<Void> stopped = new CompletableFuture<>();
  private long lastSweepNanos = System.nanoTime();
  private volatile boolean stopping;
  private long drainEndNanos;
  private long answersEndNanos;
  private long stopEndNanos;

  private TrafficDaemon(Collaborators with) {
    this.with = with;
    TrafficSettings settings = with.settings();
    MetricRegistry registry = with.metrics().registry();
    Eventloop reactor = with.reactor();
    CallCodec codec = new CallCodec();
    ContextSigner signer = new ContextSigner();
    ParentCalls parents = new ParentCalls();
    this.upstreams = new LocalUpstreams(with);
    this.links = new PeerLinks(with, codec);
    this.view = new CurrentView(with, upstreams, links);
    LocalCalls localCalls = new LocalCalls(with, upstreams, parents, signer, view);
    ForwardingParts forwarding =
        new ForwardingParts(with, upstreams, localCalls, links, new SplittableRandom());
    EdgeHandler edgeHandler =
        new EdgeHandler(
            new EdgeParts(with, forwarding, parents, new Digests(), new DecisionLog(registry)),
            view,
            signer);
    this.edge =
        new HttpServer(
            reactor,
            settings.edgeAddress().toSocketAddress(),
            settings.maxBodyBytes(),
            edgeHandler,
            registry,
            "edge");
    this.local =
        new HttpServer(
            reactor,
            settings.localAddress().toSocketAddress(),
            LocalApi.MAX_BODY_BYTES,
            with.localApi().create(upstreams),
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
            registry);
    this.thread = new Thread(reactor, "traffic-" + settings.daemonId());
  }

  /**
   * Returns a builder.
   *
   * @param reactor event loop that is not running; the daemon runs it on its own thread
   */
  public static Builder builder(TrafficSettings settings, Eventloop reactor) {
    return new Builder(settings, reactor);
  }

  /**
   * Starts the thread and listens on the three addresses.
   *
   * @throws IOException if an address is in use
   */
  public void start() throws IOException {
    Eventloop reactor = with.reactor();
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
   * Stops gracefully: registrations are withdrawn, links and callers are told, what runs is
   * finished, and then everything is closed. Safe for use by any thread.
   *
   * @return completes when everything is closed
   */
  public CompletableFuture<Void> stop() {
    with.reactor().execute(this::beginStop);
    return stopped.copy();
  }

  /** Returns true if the daemon has routes and is not stopping. Safe for any thread. */
  public boolean isReady() {
    return !stopping && with.views().current().hasRoutes();
  }

  /** Returns the address of the edge, with the port that the system chose if port 0 was given. */
  public InetSocketAddress edgeAddress() {
    return edge.boundAddress();
  }

  /** Returns the address for links of other daemons. */
  public InetSocketAddress linkAddress() {
    return linkServer.boundAddress();
  }

  /** Returns the address of the announcement API. */
  public InetSocketAddress localAddress() {
    return local.boundAddress();
  }

  private void listen() throws IOException {
    linkServer.start();
    upstreams.setLinkEndpoint(
        new Endpoint(with.settings().linkAddress().ip(), linkServer.boundAddress().getPort()));
    local.start();
    edge.start();
    with.timers().onTick(() -> upstreams.onTick(System.nanoTime()));
    housekeeping();
  }

  private void housekeeping() {
    long now = System.nanoTime();
    view.get();
    upstreams.onTick(now);
    if (now - lastSweepNanos >= SWEEP_NANOS) {
      lastSweepNanos = now;
      edge.sweep(now);
      local.sweep(now);
      linkServer.sweep(now);
    }
    links.onTick(now);
    with.reactor().delayBackground(HOUSEKEEPING_MILLIS, this::housekeeping);
  }

  private void beginStop() {
    if (stopping) {
      return;
    }
    stopping = true;
    long now = System.nanoTime();
    drainEndNanos = now + TimeUnit.MILLISECONDS.toNanos(with.settings().drainMillis());
    stopEndNanos = now + TimeUnit.MILLISECONDS.toNanos(with.settings().stopTimeoutMillis());
    long lastNanos =
        Math.min(LAST_ANSWERS_NANOS, (long) (LAST_ANSWERS_PART * (stopEndNanos - now)));
    answersEndNanos = stopEndNanos - lastNanos;
    edge.startClosing();
    local.startClosing();
    long servedMillis = (long) (SERVED_PART * with.settings().drainMillis());
    with.reactor().delay(servedMillis, this::leaveFleet);
    awaitDrained();
  }

  /**
   * Sends the calls of other daemons to other targets. In a rolling restart the upstream beside a
   * stopping daemon is missing until the next process is known, so it serves as long as it can.
   */
  private void leaveFleet() {
    upstreams.startStopping();
    linkServer.goAway();
  }

  /**
   * Requests are taken until the upstream has finished, because it may still make nested calls;
   * they go to other targets, and each answer carries {@code Connection: close}.
   */
  private void awaitDrained() {
    long now = System.nanoTime();
    if ((now >= drainEndNanos && upstreams.inFlight() == 0) || now >= answersEndNanos) {
      edge.stopListening();
      local.stopListening();
      awaitAnswered();
    } else {
      with.reactor().delay(STOP_POLL_MILLIS, this::awaitDrained);
    }
  }

  private void awaitAnswered() {
    long now = System.nanoTime();
    edge.closeIdle(now, LAST_REQUEST_NANOS);
    local.closeIdle(now, 0);
    boolean answered =
        !edge.isListening()
            && edge.onlyLingers()
            && upstreams.inFlight() == 0
            && linkServer.isIdle();
    if (answered || now >= answersEndNanos) {
      stopEndNanos = Math.min(stopEndNanos, now + LAST_ANSWERS_NANOS);
      awaitClosed();
    } else {
      with.reactor().delay(STOP_POLL_MILLIS, this::awaitAnswered);
    }
  }

  /** Callers and peers close first, so that no unread byte makes the kernel drop an answer. */
  private void awaitClosed() {
    boolean closed = edge.connections() == 0 && linkServer.links() == 0;
    if (closed || System.nanoTime() >= stopEndNanos) {
      closeAll();
    } else {
      with.reactor().delay(STOP_POLL_MILLIS, this::awaitClosed);
    }
  }

  private void closeAll() {
    links.close();
    linkServer.close();
    edge.closeAll();
    local.closeAll();
    upstreams.close();
    with.reactor().keepAlive(false);
    with.reactor().breakEventloop();
    stopped.complete(null);
  }

  /** Collects the collaborators; all of them are needed. Not safe for use by several threads. */
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
    private MetricRegistry metrics;

    private Builder(TrafficSettings settings, Eventloop reactor) {
      this.settings = Assert.notNull(settings, "settings");
      this.reactor = Assert.notNull(reactor, "reactor");
    }

    /** Sets where configuration comes from and where registrations go. */
    public Builder withFleet(FleetViewSource newViews, TargetPublisher newPublisher) {
      this.views = newViews;
      this.publisher = newPublisher;
      return this;
    }

    /** Sets the admission of requests. */
    public Builder withAdmission(
        RateLimiter newRateLimiter, ClaimClient newClaims, GateFactory newGates) {
      this.rateLimiter = newRateLimiter;
      this.claims = newClaims;
      this.gates = newGates;
      return this;
    }

    /** Sets the choice of targets. */
    public Builder withSelector(TargetSelector newSelector) {
      this.selector = newSelector;
      return this;
    }

    /** Sets the bounds on repeated attempts. */
    public Builder withRetries(RetryBudgets newLedger, RetryThrottles newThrottles) {
      this.ledger = newLedger;
      this.throttles = newThrottles;
      return this;
    }

    /** Sets what bounds root requests whose calls fail; one for each upstream. */
    public Builder withRootThrottles(Supplier<RootRequestThrottle> newRootThrottles) {
      this.rootThrottles = newRootThrottles;
      return this;
    }

    /** Replaces the product's own interface for callers and upstreams. */
    public Builder withDialect(HttpDialect newDialect, LocalApiFactory newLocalApi) {
      this.dialect = newDialect;
      this.localApi = newLocalApi;
      return this;
    }

    /** Sets where metrics are registered. */
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
              new Timers(reactor)));
    }
  }
}
