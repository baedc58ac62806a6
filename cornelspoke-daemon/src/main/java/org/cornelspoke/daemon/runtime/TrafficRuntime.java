package org.cornelspoke.daemon.runtime;

import com.codahale.metrics.Gauge;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.commons.math3.random.Well19937c;
import org.cornelspoke.coordination.admission.ConcurrencyLimit;
import org.cornelspoke.coordination.admission.DefaultUpstreamGate;
import org.cornelspoke.coordination.admission.UpstreamGate;
import org.cornelspoke.coordination.dissemination.RelayOrder;
import org.cornelspoke.coordination.quota.FloorRateLimiter;
import org.cornelspoke.coordination.quota.RateLimiter;
import org.cornelspoke.coordination.retry.DefaultRetryBudgets;
import org.cornelspoke.coordination.routing.DefaultTargetSelector;
import org.cornelspoke.coordination.routing.ExpectedCompletionCost;
import org.cornelspoke.coordination.routing.TargetCost;
import org.cornelspoke.coordination.routing.TargetSelector;
import org.cornelspoke.daemon.admin.AdminServer;
import org.cornelspoke.daemon.admin.Health;
import org.cornelspoke.daemon.controlclient.ControlClient;
import org.cornelspoke.daemon.settings.ControlEndpointOrder;
import org.cornelspoke.daemon.settings.LearnedCapacitySettings;
import org.cornelspoke.daemon.settings.TrafficSettings;
import org.cornelspoke.daemon.traffic.StaleKeys;
import org.cornelspoke.daemon.traffic.TrafficDaemon;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.state.config.BuiltInPresets;
import org.cornelspoke.state.config.Preset;
import org.cornelspoke.transport.http.ConnectionLimits;
import org.cornelspoke.transport.http.HttpServer;

/** Runs the services of a traffic daemon: control client, rate shares, request path and metrics. */
final class TrafficRuntime extends AbstractRuntime {

  private static final System.Logger LOGGER = System.getLogger(TrafficRuntime.class.getName());

  private static final int READINESS_MAX_BODY_BYTES = 1 << 10;
  private static final long READINESS_SWEEP_INTERVAL_MILLIS = 1_000;
  private static final long RELAY_POLL_INTERVAL_MILLIS = 1_000;

  private final TrafficSettings settings;
  private final TrafficProfile profile;
  private final RuntimeLoop trafficRuntimeLoop;
  private final Eventloop trafficLoop;
  private final HolderChannel shareChannel;
  private final ControlClient controlClient;
  private final TrafficDaemon daemon;
  private final AdminServer admin;
  private final Optional<HttpServer> readinessServer;

  TrafficRuntime(TrafficSettings settings, TrafficProfile profile) {
    super(settings.daemonId().value());
    this.settings = settings;
    this.profile = profile;
    this.trafficRuntimeLoop = new RuntimeLoop("traffic", metrics());
    this.trafficLoop = trafficRuntimeLoop.reactor();
    this.shareChannel =
        new HolderChannel(
            trafficLoop,
            control(),
            settings.daemonId(),
            profile.shareTimes,
            ScheduledReturns.of(profile, settings.returns(), metrics()));
    this.controlClient =
        ControlClient.builder()
            .withReactor(control())
            .withDaemon(settings.daemonId())
            .withDataCentre(settings.dataCentre())
            .withRelays(
                settings.controlEndpoints().stream().map(Endpoint::toSocketAddress).toList())
            .withRelayOrder(relayOrder(settings.controlEndpointOrder()))
            .withFreshnessBoundMillis(settings.freshnessBoundMillis())
            .withShareListener(shareChannel)
            .build();
    // Messages without a connection are dropped; the next session reports the held shares.
    shareChannel.setRelaySender(controlClient::sendShareMessage);
    RateLimiter limiter =
        profile.rateFloorFraction > 0
            ? new FloorRateLimiter(
                shareChannel.holder(), controlClient::current, profile.rateFloorFraction)
            : shareChannel.holder();
    LearnedCapacitySettings learnedCapacity =
        profile.learnedCapacity.orElse(settings.learnedCapacity());
    TrafficDaemon.Builder builder =
        TrafficDaemon.builder(trafficSettings(settings, profile), trafficLoop)
            .withFleet(controlClient, controlClient)
            .withQuarantine(controlClient, controlClient)
            .withDepartures(controlClient)
            .withAdmission(
                limiter, controlClient, new LearningGateFactory(learnedCapacity, this::createGate))
            .withSelector(createSelector(learnedCapacity))
            .withRetries(new DefaultRetryBudgets(), profile.retryThrottles)
            .withRootThrottles(profile.rootThrottles)
            .withArrivalClock(trafficRuntimeLoop.monitor())
            .withConnectionLimits(ConnectionLimits.ofProcess())
            .withMetrics(metrics());
    profile.localApi.ifPresent(api -> builder.withDialect(profile.dialect, api));
    this.daemon = builder.build();
    controlClient.setDepartureListener(
        processes -> trafficLoop.execute(() -> daemon.setDepartedProcesses(processes)));
    this.readinessServer =
        profile.readinessAddress.map(
            address ->
                new HttpServer(
                    control(),
                    address.toSocketAddress(),
                    READINESS_MAX_BODY_BYTES,
                    profile.readinessApi.apply(daemon::isReady),
                    metrics(),
                    "readiness"));
    registerControlMetrics();
    this.admin =
        AdminServer.builder(control(), settings.adminAddress())
            .withMetrics(metrics())
            .withHealth(this::health)
            .build();
  }

  @Override
  void startOnControlThread() throws IOException {
    admin.start();
    controlClient.start();
    pollRelays();
    if (readinessServer.isPresent()) {
      readinessServer.get().start();
      sweepReadinessServer();
    }
  }

  @Override
  void startTraffic() throws IOException {
    daemon.start();
    trafficLoop.execute(trafficRuntimeLoop::startMonitor);
    shareChannel.start();
    LOGGER.log(
        Level.INFO,
        "traffic daemon {0} accepts requests on {1}",
        settings.daemonId(),
        settings.edgeAddress());
  }

  @Override
  void stopTraffic() throws InterruptedException, ExecutionException {
    daemon.stop().get();
  }

  @Override
  void stopOnControlThread() {
    controlClient.stop();
    admin.stop();
    readinessServer.ifPresent(HttpServer::closeAll);
  }

  /** Polls the settings, which may name new control VMs while the daemon runs. */
  private void pollRelays() {
    control().delayBackground(RELAY_POLL_INTERVAL_MILLIS, this::pollRelays);
    profile.relaySource.get().forEach(relay -> controlClient.addRelay(relay.toSocketAddress()));
  }

  /** Registers which configuration is in force, and whether it is proven to be current. */
  private void registerControlMetrics() {
    Gauge<Long> revision = () -> controlClient.current().revision().number();
    Gauge<Long> freshnessAgeMillis =
        () ->
            controlClient
                .freshnessAgeNanos(System.nanoTime())
                .map(TimeUnit.NANOSECONDS::toMillis)
                .orElse(-1L);
    Gauge<Integer> attached = () -> controlClient.isAttached() ? 1 : 0;
    metrics().registerGauge("control.revision", revision);
    metrics().registerGauge("control.freshness-age-millis", freshnessAgeMillis);
    metrics().registerGauge("control.attached", attached);
    Gauge<Integer> knownRequests = () -> controlClient.quarantine().size();
    Gauge<Long> refusedRequests = () -> controlClient.quarantine().refusedCount(System.nanoTime());
    metrics().registerGauge("quarantine.known-requests", knownRequests);
    metrics().registerGauge("quarantine.refused-requests", refusedRequests);
  }

  private void sweepReadinessServer() {
    control().delayBackground(READINESS_SWEEP_INTERVAL_MILLIS, this::sweepReadinessServer);
    readinessServer.orElseThrow().closeTimedOutConnections(System.nanoTime());
  }

  private TargetSelector createSelector(LearnedCapacitySettings learnedCapacity) {
    return new DefaultTargetSelector(
        settings.daemonId(),
        settings.dataCentre(),
        DefaultTargetSelector.DEFAULT_SUBSET_SIZE,
        new Well19937c(),
        learnedCapacity.enabled() ? new ExpectedCompletionCost() : TargetCost.byLoad());
  }

  private UpstreamGate createGate(int slots, Optional<ConcurrencyLimit> limit) {
    Preset preset = controlClient.current().activePreset().orElseGet(BuiltInPresets::ordinary);
    return new DefaultUpstreamGate(
        preset,
        limit.orElseGet(() -> profile.concurrencyLimits.apply(slots)),
        profile.reservedInteractiveFraction);
  }

  private Health health() {
    return controlClient.isFresh(System.nanoTime())
        ? Health.OK
        : new Health(
            false,
            "configuration not proved current within "
                + TimeUnit.MILLISECONDS.toSeconds(settings.freshnessBoundMillis())
                + " s");
  }

  private static org.cornelspoke.daemon.traffic.TrafficSettings trafficSettings(
      TrafficSettings settings, TrafficProfile profile) {
    return org.cornelspoke.daemon.traffic.TrafficSettings.builder(
            settings.daemonId(), settings.dataCentre())
        .withAddresses(settings.edgeAddress(), settings.linkAddress(), settings.localAddress())
        .withStaleKeys(StaleKeys.valueOf(settings.staleKeys().name()))
        .withShareWaitMillis(settings.shareWaitMillis())
        .withMaxBodyBytes(settings.maxBodyBytes())
        .withStopTimes(profile.drainMillis, profile.stopTimeoutMillis)
        .withChainAdmission(profile.chainAdmission.orElse(settings.chainAdmission()))
        .build();
  }

  private static RelayOrder relayOrder(ControlEndpointOrder order) {
    return switch (order) {
      case LISTED -> RelayOrder.LISTED;
      case SPREAD -> RelayOrder.SPREAD;
    };
  }
}
