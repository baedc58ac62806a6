package org.cornelspoke.daemon.runtime;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.commons.math3.random.Well19937c;
import org.cornelspoke.coordination.admission.DefaultUpstreamGate;
import org.cornelspoke.coordination.admission.UpstreamGate;
import org.cornelspoke.coordination.quota.FloorRateLimiter;
import org.cornelspoke.coordination.quota.RateLimiter;
import org.cornelspoke.coordination.retry.DefaultRetryBudgets;
import org.cornelspoke.coordination.routing.DefaultTargetSelector;
import org.cornelspoke.daemon.admin.AdminServer;
import org.cornelspoke.daemon.admin.Health;
import org.cornelspoke.daemon.controlclient.ControlClient;
import org.cornelspoke.daemon.settings.TrafficSettings;
import org.cornelspoke.daemon.traffic.StaleKeys;
import org.cornelspoke.daemon.traffic.TrafficDaemon;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.state.config.BuiltInPresets;
import org.cornelspoke.state.config.Preset;
import org.cornelspoke.transport.http.HttpServer;

/** The services of a traffic daemon: control client, rate shares, traffic path and metrics. */
final class TrafficRuntime extends AbstractRuntime {

  private static final System.Logger LOGGER = System.getLogger(TrafficRuntime.class.getName());

  private static final int READINESS_MAX_BODY_BYTES = 1 << 10;
  private static final long READINESS_SWEEP_MILLIS = 1_000;
  private static final long RELAY_SOURCE_MILLIS = 1_000;

  private final TrafficSettings settings;
  private final TrafficProfile profile;
  private final Eventloop traffic;
  private final HolderChannel shares;
  private final ControlClient client;
  private final TrafficDaemon daemon;
  private final AdminServer admin;
  private final Optional<HttpServer> readiness;

  TrafficRuntime(TrafficSettings settings, TrafficProfile profile) {
    super(settings.daemonId().value());
    this.settings = settings;
    this.profile = profile;
    this.traffic = EventLoops.create("traffic", metrics());
    this.shares = new HolderChannel(traffic, control(), settings.daemonId(), profile.shareTimes);
    this.client =
        ControlClient.builder()
            .withReactor(control())
            .withDaemon(settings.daemonId())
            .withDataCentre(settings.dataCentre())
            .withRelays(
                settings.controlEndpoints().stream().map(Endpoint::toSocketAddress).toList())
            .withFreshnessBoundMillis(settings.freshnessBoundMillis())
            .withShareListener(shares)
            .build();
    // A message that finds no connection is dropped; the next session states what is held.
    shares.sendTo(client::sendShare);
    RateLimiter limiter =
        profile.rateFloorPart > 0
            ? new FloorRateLimiter(shares.holder(), client::current, profile.rateFloorPart)
            : shares.holder();
    TrafficDaemon.Builder builder =
        TrafficDaemon.builder(trafficSettings(settings, profile), traffic)
            .withFleet(client, client)
            .withAdmission(limiter, client, (service, slots, now) -> gate(slots))
            .withSelector(
                new DefaultTargetSelector(
                    settings.daemonId(),
                    settings.dataCentre(),
                    DefaultTargetSelector.DEFAULT_SUBSET_SIZE,
                    new Well19937c()))
            .withRetries(new DefaultRetryBudgets(), profile.throttles)
            .withRootThrottles(profile.rootThrottles)
            .withMetrics(metrics());
    profile.localApi.ifPresent(api -> builder.withDialect(profile.dialect, api));
    this.daemon = builder.build();
    this.readiness =
        profile.readinessAddress.map(
            address ->
                new HttpServer(
                    control(),
                    address.toSocketAddress(),
                    READINESS_MAX_BODY_BYTES,
                    profile.readinessApi.apply(daemon::isReady),
                    metrics(),
                    "readiness"));
    this.admin =
        AdminServer.builder(control(), settings.adminAddress())
            .withMetrics(metrics())
            .withHealth(this::health)
            .build();
  }

  @Override
  void startOnControlThread() throws IOException {
    admin.start();
    client.start();
    followRelays();
    if (readiness.isPresent()) {
      readiness.get().start();
      sweepReadiness();
    }
  }

  @Override
  void startTraffic() throws IOException {
    daemon.start();
    shares.start();
    LOGGER.log(
        Level.INFO,
        "traffic daemon {0} serves on {1}",
        settings.daemonId(),
        settings.edgeAddress());
  }

  @Override
  void stopTraffic() throws InterruptedException, ExecutionException {
    daemon.stop().get();
  }

  @Override
  void stopOnControlThread() {
    client.stop();
    admin.stop();
    readiness.ifPresent(HttpServer::closeAll);
  }

  /** The settings may name other control VMs while the daemon runs. */
  private void followRelays() {
    profile.relaySource.get().forEach(relay -> client.addRelay(relay.toSocketAddress()));
    control().delayBackground(RELAY_SOURCE_MILLIS, this::followRelays);
  }

  private void sweepReadiness() {
    readiness.orElseThrow().sweep(System.nanoTime());
    control().delayBackground(READINESS_SWEEP_MILLIS, this::sweepReadiness);
  }

  private UpstreamGate gate(int slots) {
    Preset preset = client.current().activePreset().orElseGet(BuiltInPresets::ordinary);
    return new DefaultUpstreamGate(preset, profile.limits.apply(slots), profile.interactivePart);
  }

  private Health health() {
    return client.isFresh(System.nanoTime())
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
        .build();
  }
}
