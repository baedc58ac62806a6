package org.cornelspoke.daemon.runtime;

import io.activej.promise.Promise;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.consensus.Member;
import org.cornelspoke.coordination.consensus.Membership;
import org.cornelspoke.daemon.admin.AdminServer;
import org.cornelspoke.daemon.admin.Health;
import org.cornelspoke.daemon.consensus.ConsensusService;
import org.cornelspoke.daemon.relay.ControlBackend;
import org.cornelspoke.daemon.relay.RelayServer;
import org.cornelspoke.daemon.settings.BootstrapOperator;
import org.cornelspoke.daemon.settings.ControlSettings;
import org.cornelspoke.daemon.settings.GroupFormation;
import org.cornelspoke.daemon.settings.PeerSettings;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.config.ChangeRequest;
import org.cornelspoke.state.config.ChangeResult;
import org.cornelspoke.state.config.Operator;
import org.cornelspoke.state.config.RoutingDocument;
import org.cornelspoke.state.machine.ControlStateMachine;
import org.cornelspoke.transport.http.HttpServer;

/** The services of a control daemon: consensus, relay, rate shares and administration. */
final class ControlRuntime extends AbstractRuntime {

  private static final System.Logger LOGGER = System.getLogger(ControlRuntime.class.getName());
  private static final long BOOTSTRAP_TRY_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final long BOOTSTRAP_RETRY_MILLIS = 500;

  /** A relay that has not proved to be current for this long reports itself as unhealthy. */
  private static final long HEALTHY_AGE_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final int OPERATOR_MAX_BODY_BYTES = 4 << 20;
  private static final long OPERATOR_SWEEP_MILLIS = 1_000;

  private static final long PEER_SOURCE_MILLIS = 1_000;

  private final ControlSettings settings;
  private final ControlProfile profile;
  private final ControlStateMachine machine = new ControlStateMachine();
  private final ConsensusService consensus;
  private final RelayServer relay;
  private final RelayShares shares;
  private final ControlBackend backend;
  private final AdminServer admin;
  private final Optional<HttpServer> operators;
  private boolean stopping;

  ControlRuntime(ControlSettings settings, ControlProfile profile) {
    super(settings.vmId().value());
    this.settings = settings;
    this.profile = profile;
    ConsensusService.Builder builder =
        ConsensusService.builder(control())
            .withVm(settings.vmId(), settings.peerAddress())
            .withDataFolder(settings.dataFolder())
            .withStateMachine(machine)
            .withSettings(profile.consensus)
            .withGroupFormation(settings.formation() != GroupFormation.JOINING)
            .withAutomaticMembership(settings.formation() != GroupFormation.OPERATED)
            .withMembershipListener(this::onMembership)
            .withMetrics(metrics());
    Map<VmId, InetSocketAddress> relays = new HashMap<>();
    for (PeerSettings peer : settings.peers()) {
      builder.withPeer(peer.vmId(), peer.peerAddress());
      relays.put(peer.vmId(), peer.relayAddress().toSocketAddress());
    }
    this.consensus = builder.build();
    this.shares = new RelayShares(control(), settings.vmId(), consensus, machine.config(), profile);
    this.relay =
        RelayServer.builder()
            .withReactor(control())
            .withVm(settings.vmId())
            .withRelayAddress(settings.relayAddress().toSocketAddress())
            .withPeers(relays)
            .withLog(consensus)
            .withMachine(machine)
            .withShareEndpoint(shares)
            .build();
    this.backend = new ControlBackend(control(), consensus, machine, relay);
    this.admin =
        AdminServer.builder(control(), settings.adminAddress())
            .withMetrics(metrics())
            .withHealth(this::health)
            .withBackend(new GroupAdminBackend(settings, consensus, machine, backend))
            .build();
    this.operators =
        profile.operatorAddress.map(
            address ->
                new HttpServer(
                    control(),
                    address.toSocketAddress(),
                    OPERATOR_MAX_BODY_BYTES,
                    profile.operatorApi.apply(new Administration()),
                    metrics(),
                    "operators"));
  }

  @Override
  void startOnControlThread() throws IOException {
    consensus.start();
    relay.start();
    shares.start(relay);
    admin.start();
    if (operators.isPresent()) {
      operators.get().start();
      sweepOperators();
    }
    followPeers();
    settings.bootstrapOperator().ifPresent(this::bootstrap);
    LOGGER.log(
        Level.INFO, "control daemon {0} serves on {1}", settings.vmId(), settings.adminAddress());
  }

  @Override
  void stopOnControlThread() {
    stopping = true;
    admin.stop();
    operators.ifPresent(HttpServer::closeAll);
    shares.stop();
    relay.stop();
    consensus.stop();
  }

  @Override
  void afterStop() throws InterruptedException {
    consensus.awaitStopped();
  }

  private void bootstrap(BootstrapOperator first) {
    if (stopping) {
      return;
    }
    backend
        .bootstrap(
            new Operator(first.id(), first.tokenHashHex()), System.nanoTime() + BOOTSTRAP_TRY_NANOS)
        .whenException(
            e -> control().delayBackground(BOOTSTRAP_RETRY_MILLIS, () -> bootstrap(first)));
  }

  /** The settings may name other control VMs while this one waits to be taken in. */
  private void followPeers() {
    profile.peerSource.get().forEach(peer -> consensus.addPeer(peer.vmId(), peer.peerAddress()));
    control().delayBackground(PEER_SOURCE_MILLIS, this::followPeers);
  }

  private void sweepOperators() {
    operators.orElseThrow().sweep(System.nanoTime());
    control().delayBackground(OPERATOR_SWEEP_MILLIS, this::sweepOperators);
  }

  /** All VMs of a group that keeps its own membership use the same ports. */
  private void onMembership(Membership membership) {
    if (settings.formation() == GroupFormation.OPERATED) {
      return;
    }
    Map<VmId, InetSocketAddress> relays = new HashMap<>();
    for (Member member : membership.members()) {
      if (!member.vmId().equals(settings.vmId())) {
        relays.put(
            member.vmId(),
            new Endpoint(member.peerAddress().ip(), settings.relayAddress().port())
                .toSocketAddress());
      }
    }
    relay.setPeers(relays, settings.relayAddress());
  }

  private Health health() {
    boolean current = relay.ageNanos().filter(age -> age <= HEALTHY_AGE_NANOS).isPresent();
    return current ? Health.OK : new Health(false, "not proved current by a quorum");
  }

  private final class Administration implements RoutingAdministration {

    @Override
    public Promise<ChangeResult> submit(ChangeRequest request, long timeoutMillis) {
      return backend.submit(request, deadlineNanos(timeoutMillis));
    }

    @Override
    public Promise<Optional<RoutingDocument>> read(long timeoutMillis) {
      return backend
          .readConfig(deadlineNanos(timeoutMillis))
          .map(reading -> machine.config().routingDocument());
    }

    private static long deadlineNanos(long timeoutMillis) {
      return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    }
  }
}
