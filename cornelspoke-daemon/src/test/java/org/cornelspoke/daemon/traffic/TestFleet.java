package org.cornelspoke.daemon.traffic;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.cornelspoke.coordination.admission.ChainAdmissionSettings;
import org.cornelspoke.coordination.admission.GateRequest;
import org.cornelspoke.coordination.dissemination.FleetViewSource;
import org.cornelspoke.coordination.dissemination.TargetPublisher;
import org.cornelspoke.coordination.quota.RateLimiter;
import org.cornelspoke.coordination.retry.RetryThrottles;
import org.cornelspoke.coordination.routing.TargetSelector;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.KeyId;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.RouteId;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.Account;
import org.cornelspoke.state.config.ActivePreset;
import org.cornelspoke.state.config.ClassPolicy;
import org.cornelspoke.state.config.ClientKey;
import org.cornelspoke.state.config.ConfigEntity;
import org.cornelspoke.state.config.ContextSecret;
import org.cornelspoke.state.config.EntityId;
import org.cornelspoke.state.config.Preset;
import org.cornelspoke.state.config.Route;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.view.FleetView;
import org.cornelspoke.transport.http.ConnectionLimits;
import org.cornelspoke.transport.loop.EventLoopMonitor;
import org.cornelspoke.transport.loop.EventLoops;

/** Daemons on free ports that share one fleet view; announced targets appear in it immediately. */
final class TestFleet implements AutoCloseable, TargetPublisher {

  static final String KEY = "Authorization: Bearer secret-key";
  static final DataCentreId HERE = new DataCentreId("here");
  static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);

  private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(20);

  final AtomicBoolean viewIsFresh = new AtomicBoolean(true);
  final AtomicBoolean withinRate = new AtomicBoolean(true);
  final InMemoryQuarantine quarantine = new InMemoryQuarantine();
  final Fakes.InMemoryClaimClient claims = new Fakes.InMemoryClaimClient();
  final Map<String, MetricRegistry> metrics = new ConcurrentHashMap<>();

  /** Event loops of the daemons by name. */
  final Map<String, Eventloop> loops = new ConcurrentHashMap<>();

  /** Difference between the time of day of the daemons' VMs and the true one. */
  final AtomicLong clockStepMillis = new AtomicLong();

  /** Requests submitted to the gates of all daemons. */
  final List<GateRequest> gateRequests = new CopyOnWriteArrayList<>();

  /** Settings of the daemons that are started from now on. */
  ChainAdmissionSettings chainAdmission = ChainAdmissionSettings.OFF;

  /** Limits of the daemons that are started from now on. */
  ConnectionLimits connectionLimits = ConnectionLimits.UNLIMITED;

  /** Maximum size of a body at the daemons that are started from now on. */
  int maxBodyBytes = 1 << 20;

  HttpDialect dialect = new DefaultDialect();

  /** Creates the local API of the daemons that are started from now on. */
  LocalApiFactory localApi = LocalApi::new;

  private final Map<TargetId, Target> targets = new TreeMap<>((a, b) -> compare(a, b));
  private final List<TrafficDaemon> daemons = new ArrayList<>();
  private final List<ConfigEntity> entities = new ArrayList<>(defaultEntities());
  private final Map<String, DataCentreId> dataCentres = new ConcurrentHashMap<>();
  private final Map<String, FleetView> frozenViews = new ConcurrentHashMap<>();
  private GateFactory gates = (service, slots, now) -> new Fakes.SlotGate(slots, gateRequests::add);
  private volatile FleetView view;

  TestFleet() {
    rebuild();
  }

  TrafficDaemon start(String name) throws IOException {
    return start(name, new Fakes.FirstUntriedSelector());
  }

  TrafficDaemon start(String name, TargetSelector selector) throws IOException {
    return start(name, selector, 200, 20_000);
  }

  TrafficDaemon startWithStopTimes(String name, long drainMillis, long stopTimeoutMillis)
      throws IOException {
    return start(name, new Fakes.FirstUntriedSelector(), drainMillis, stopTimeoutMillis);
  }

  private TrafficDaemon start(
      String name, TargetSelector selector, long drainMillis, long stopTimeoutMillis)
      throws IOException {
    TrafficSettings settings =
        TrafficSettings.builder(new DaemonId(name), dataCentres.getOrDefault(name, HERE))
            .withAddresses(ANY_PORT, ANY_PORT, ANY_PORT)
            .withMaxBodyBytes(maxBodyBytes)
            .withStopTimes(drainMillis, stopTimeoutMillis)
            .withChainAdmission(chainAdmission)
            .build();
    TrafficDaemon daemon = build(settings, selector);
    daemon.start();
    daemons.add(daemon);
    return daemon;
  }

  TrafficDaemon build(TrafficSettings settings) {
    return build(settings, new Fakes.FirstUntriedSelector());
  }

  private TrafficDaemon build(TrafficSettings settings, TargetSelector selector) {
    MetricRegistry registry = new MetricRegistry();
    metrics.put(settings.daemonId().value(), registry);
    RateLimiter limiter =
        (account, deadline, listener, now) -> {
          if (withinRate.get()) {
            listener.onGranted();
          } else {
            listener.onRefused(1_500);
          }
        };
    EventLoopMonitor monitor =
        new EventLoopMonitor(
            "traffic",
            registry,
            () -> System.currentTimeMillis() + clockStepMillis.get(),
            System::nanoTime);
    Eventloop loop = EventLoops.builder(monitor).build();
    loop.execute(() -> monitor.start(loop));
    loops.put(settings.daemonId().value(), loop);
    return TrafficDaemon.builder(settings, loop)
        .withArrivalClock(monitor)
        .withConnectionLimits(connectionLimits)
        .withFleet(viewsOf(settings.daemonId().value()), this)
        .withAdmission(limiter, claims, gates)
        .withDialect(dialect, localApi)
        .withQuarantine(quarantine, quarantine)
        .withSelector(selector)
        .withRetries(
            new Fakes.HalvingRetryBudgets(),
            RetryThrottles.shared(new Fakes.UnlimitedRetryThrottle()))
        .withMetrics(registry)
        .build();
  }

  /** Sets the data centre of a daemon that is started later; without it, it is in {@link #HERE}. */
  void place(String name, String dataCentre) {
    dataCentres.put(name, new DataCentreId(dataCentre));
  }

  /** Sets the gates of the daemons that are started later. */
  void setGates(GateFactory newGates) {
    gates = newGates;
  }

  /** Leaves a daemon with its present view, as if it were cut off from the control group. */
  void freezeView(String name) {
    frozenViews.put(name, view);
  }

  /** Gives a daemon a view of its own. */
  void setView(String name, FleetView ownView) {
    frozenViews.put(name, ownView);
  }

  /** Ends the effect of {@link #freezeView} and {@link #setView}. */
  void releaseView(String name) {
    frozenViews.remove(name);
  }

  private FleetViewSource viewsOf(String name) {
    return new FleetViewSource() {
      @Override
      public FleetView current() {
        return frozenViews.getOrDefault(name, view);
      }

      @Override
      public boolean isFresh(long nowNanos) {
        return viewIsFresh.get();
      }
    };
  }

  /** Starts a daemon and announces the upstream to it. */
  TrafficDaemon startWith(String name, String service, StandInUpstream upstream)
      throws IOException {
    TrafficDaemon daemon = start(name);
    announce(daemon, service, upstream, 10);
    return daemon;
  }

  static void announce(TrafficDaemon daemon, String service, StandInUpstream upstream, int slots)
      throws IOException {
    String body =
        "{\"service\":\"%s\",\"address\":\"%s\",\"slots\":%d}"
            .formatted(service, upstream.address(), slots);
    int status = local(daemon, "/v1/announce", body).status();
    if (status != 204) {
      throw new AssertionError("announcement failed with status " + status);
    }
  }

  static RawClient.Response local(TrafficDaemon daemon, String path, String body)
      throws IOException {
    return RawClient.once(daemon.localAddress(), RawClient.request("POST", path, body));
  }

  /** Waits until a call through the daemon succeeds, so that its link is ready. */
  void awaitRoute(TrafficDaemon edge, String target) {
    await(
        () -> {
          try {
            return RawClient.once(edge.edgeAddress(), RawClient.request("GET", target, "")).status()
                == 200;
          } catch (IOException e) {
            return false;
          }
        });
  }

  static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + WAIT_NANOS;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("condition was not met in time");
      }
      try {
        Thread.sleep(5);
      } catch (InterruptedException e) {
        throw new AssertionError(e);
      }
    }
  }

  synchronized void replace(ConfigEntity... changed) {
    for (ConfigEntity entity : changed) {
      entities.removeIf(old -> old.entityId().equals(entity.entityId()));
      entities.add(entity);
    }
    rebuild();
  }

  synchronized void remove(EntityId id) {
    entities.removeIf(entity -> entity.entityId().equals(id));
    rebuild();
  }

  synchronized void withdrawKeys() {
    entities.removeIf(entity -> entity instanceof ClientKey);
    rebuild();
  }

  synchronized boolean isRegistered(String target) {
    return targets.containsKey(new TargetId(target));
  }

  synchronized Target target(String target) {
    return targets.get(new TargetId(target));
  }

  @Override
  public synchronized void publish(Target target) {
    targets.put(target.id(), target);
    rebuild();
  }

  @Override
  public synchronized void withdraw(TargetId target) {
    targets.remove(target);
    rebuild();
  }

  @Override
  public void close() throws Exception {
    for (TrafficDaemon daemon : daemons) {
      daemon.stop().get(30, TimeUnit.SECONDS);
    }
  }

  static Preset preset(String name, int retryBudget, boolean bulkRefused) {
    Map<TrafficClass, ClassPolicy> classes = new HashMap<>();
    Arrays.stream(TrafficClass.values())
        .forEach(
            trafficClass ->
                classes.put(
                    trafficClass,
                    new ClassPolicy(
                        1, 100, 1_000, bulkRefused && trafficClass == TrafficClass.BULK)));
    return new Preset(new PresetName(name), retryBudget, 0.1, 0, classes);
  }

  static Route route(
      String prefix, String service, TrafficClass trafficClass, boolean open, boolean repeatable) {
    return route(prefix, service, trafficClass, open, repeatable, 10_000);
  }

  static Route route(
      String prefix,
      String service,
      TrafficClass trafficClass,
      boolean open,
      boolean repeatable,
      int timeoutMillis) {
    return new Route(
        new RouteId(prefix.substring(1).replace('/', '-')),
        Route.ANY_METHOD,
        prefix,
        new ServiceName(service),
        trafficClass,
        open,
        repeatable,
        timeoutMillis);
  }

  private void rebuild() {
    Map<ServiceName, List<Target>> byService =
        targets.values().stream().collect(Collectors.groupingBy(Target::service));
    view = new FleetView(new Revision(1), entities, byService);
  }

  private static int compare(TargetId a, TargetId b) {
    return a.value().compareTo(b.value());
  }

  private static Collection<ConfigEntity> defaultEntities() {
    AccountId account = new AccountId("farm");
    return List.of(
        new Account(account, 1_000, 1_000, 1),
        new ClientKey(new KeyId("key-1"), account, new Digests().of("secret-key")),
        preset("ordinary", 2, false),
        preset("peak", 2, true),
        new ActivePreset(new PresetName("ordinary")),
        new ContextSecret(1, "00112233445566778899aabbccddeeff"),
        route("/open", "svc", TrafficClass.INTERACTIVE, true, true),
        route("/read", "svc", TrafficClass.INTERACTIVE, false, true),
        route("/fees", "svc", TrafficClass.CRITICAL, false, false),
        route("/files", "svc", TrafficClass.BULK, false, true),
        route("/deep", "deep", TrafficClass.BULK, false, true));
  }
}
