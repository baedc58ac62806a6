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
import org.cornelspoke.daemon.admin.QuarantineListing;
import org.cornelspoke.daemon.consensus.ConsensusService;
import org.cornelspoke.daemon.consensus.ConsensusServiceBuilder;
import org.cornelspoke.daemon.relay.ControlBackend;
import org.cornelspoke.daemon.relay.RelayServer;
import org.cornelspoke.daemon.settings.BootstrapOperator;
import org.cornelspoke.daemon.settings.ControlSettings;
import org.cornelspoke.daemon.settings.GroupFormation;
import org.cornelspoke.daemon.settings.PeerSettings;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.config.ChangeRequest;
import org.cornelspoke.state.config.ChangeResult;
import org.cornelspoke.state.config.ConfigChange;
import org.cornelspoke.state.config.Operator;
import org.cornelspoke.state.config.RoutingDocument;
import org.cornelspoke.state.machine.ControlStateMachine;
import org.cornelspoke.transport.http.HttpServer;

/** Runs the services of a control daemon: consensus, relay, rate shares and administration. */
final class ControlRuntime extends AbstractRuntime {

  private static final System.Logger LOGGER = System.getLogger(ControlRuntime.class.getName());
  private static final long BOOTSTRAP_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final long BOOTSTRAP_RETRY_DELAY_MILLIS = 500;

  /** The health check fails once the last quorum confirmation is older than this. */
  private static final long MAX_HEALTHY_AGE_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final int OPERATOR_MAX_BODY_BYTES = 4 << 20;
  private static final long OPERATOR_SWEEP_INTERVAL_MILLIS = 1_000;

  private static final long PEER_POLL_INTERVAL_MILLIS = 1_000;

  private static final long HISTORY_RETRY_DELAY_MILLIS = 1_000;

  private static final long EVACUATION_POLL_INTERVAL_MILLIS = 1_000;

  private final ControlSettings settings;
  private final ControlProfile profile;
  private final ControlStateMachine stateMachine = new ControlStateMachine();
  private final ConsensusService consensus;
  private final RelayServer relay;
  private final RelayShares shares;
  private final ControlBackend backend;
  private final AdminServer admin;
  private final Optional<HttpServer> operatorServer;
  private final EvacuationMonitor evacuationMonitor;
  private boolean stopping;

  ControlRuntime(ControlSettings settings, ControlProfile profile) {
    super(settings.vmId().value());
    this.settings = settings;
    this.profile = profile;
    ConsensusServiceBuilder builder =
        ConsensusService.builder(control())
            .withVm(settings.vmId(), settings.peerAddress())
            .withDataFolder(settings.dataFolder())
            .withDiskOpener(profile.diskOpener)
            .withStateMachine(stateMachine)
            .withSettings(profile.consensus)
            .withGroupFormation(settings.formation() != GroupFormation.JOINING)
            .withMembershipListener(this::onMembershipChanged)
            .withOpenListener(this::openShareHistory)
            .withFailureListener(this::fail)
            .withMetrics(metrics());
    if (settings.formation() != GroupFormation.OPERATED) {
      builder.withAutomaticMembership(settings.targetVoters());
    }
    Map<VmId, InetSocketAddress> relayAddresses = new HashMap<>();
    for (PeerSettings peer : settings.peers()) {
      builder.withPeer(peer.vmId(), peer.peerAddress());
      relayAddresses.put(peer.vmId(), peer.relayAddress().toSocketAddress());
    }
    this.consensus = builder.build();
    this.shares =
        new RelayShares(
            control(),
            settings.vmId(),
            consensus,
            stateMachine.config(),
            consensus::committedMembership,
            new ShareHolderHistory(
                settings.dataFolder(),
                profile.shareTimes.quietPeriodNanos(),
                profile.shareTimes.daemonLeaseNanos()),
            new WithheldRates(metrics()),
            metrics(),
            profile);
    this.relay =
        RelayServer.builder()
            .withReactor(control())
            .withVm(settings.vmId())
            .withRelayAddress(settings.relayAddress().toSocketAddress())
            .withPeers(relayAddresses)
            .withLog(consensus)
            .withMachine(stateMachine)
            .withShareEndpoint(shares)
            .build();
    this.backend = new ControlBackend(control(), consensus, stateMachine, relay);
    this.admin =
        AdminServer.builder(control(), settings.adminAddress())
            .withMetrics(metrics())
            .withHealth(this::health)
            .withBackend(new GroupAdminBackend(settings, consensus, stateMachine, backend))
            .build();
    this.evacuationMonitor =
        new EvacuationMonitor(stateMachine.config(), metrics(), System::currentTimeMillis);
    this.operatorServer =
        profile.operatorAddress.map(
            address ->
                new HttpServer(
                    control(),
                    address.toSocketAddress(),
                    OPERATOR_MAX_BODY_BYTES,
                    profile.operatorApi.apply(new BackendRoutingAdministration()),
                    metrics(),
                    "operators"));
  }

  @Override
  void startOnControlThread() throws IOException {
    consensus.start();
    relay.start();
    shares.start(relay);
    admin.start();
    if (operatorServer.isPresent()) {
      operatorServer.get().start();
      sweepOperatorServer();
    }
    pollPeers();
    pollEvacuations();
    settings.bootstrapOperator().ifPresent(this::bootstrap);
    LOGGER.log(
        Level.INFO,
        "control daemon {0} started; administration API on {1}",
        settings.vmId(),
        settings.adminAddress());
  }

  @Override
  void stopOnControlThread() {
    stopping = true;
    admin.stop();
    operatorServer.ifPresent(HttpServer::closeAll);
    shares.stop();
    relay.stop();
    consensus.stop();
  }

  @Override
  void awaitResourcesReleased() throws InterruptedException {
    consensus.awaitStopped();
    shares.awaitStopped();
  }

  private void bootstrap(BootstrapOperator operator) {
    if (stopping) {
      return;
    }
    backend
        .bootstrap(
            new Operator(operator.id(), operator.tokenHashHex()),
            System.nanoTime() + BOOTSTRAP_TIMEOUT_NANOS)
        .whenException(
            e ->
                control().delayBackground(BOOTSTRAP_RETRY_DELAY_MILLIS, () -> bootstrap(operator)));
  }

  private void openShareHistory() {
    if (stopping) {
      return;
    }
    try {
      shares.openHistory();
    } catch (IOException e) {
      LOGGER.log(Level.WARNING, "history of rate shares is not available yet", e);
      control().delayBackground(HISTORY_RETRY_DELAY_MILLIS, this::openShareHistory);
    }
  }

  /** Polls the settings, which may name new control VMs while this one waits to join the group. */
  private void pollPeers() {
    control().delayBackground(PEER_POLL_INTERVAL_MILLIS, this::pollPeers);
    profile.peerSource.get().forEach(peer -> consensus.addPeer(peer.vmId(), peer.peerAddress()));
  }

  private void pollEvacuations() {
    control().delayBackground(EVACUATION_POLL_INTERVAL_MILLIS, this::pollEvacuations);
    evacuationMonitor.onTick();
  }

  private void sweepOperatorServer() {
    control().delayBackground(OPERATOR_SWEEP_INTERVAL_MILLIS, this::sweepOperatorServer);
    operatorServer.orElseThrow().closeTimedOutConnections(System.nanoTime());
  }

  /**
   * Updates the relay's peers. With automatic membership, all control VMs use the same relay port.
   */
  private void onMembershipChanged(Membership membership) {
    shares.setMembership(membership);
    if (settings.formation() == GroupFormation.OPERATED) {
      return;
    }
    Map<VmId, InetSocketAddress> relayAddresses = new HashMap<>();
    for (Member member : membership.members()) {
      if (!member.vmId().equals(settings.vmId())) {
        relayAddresses.put(
            member.vmId(),
            new Endpoint(member.peerAddress().ip(), settings.relayAddress().port())
                .toSocketAddress());
      }
    }
    relay.setPeers(relayAddresses, settings.relayAddress());
  }

  private Health health() {
    boolean current =
        relay.freshnessAgeNanos().filter(ageNanos -> ageNanos <= MAX_HEALTHY_AGE_NANOS).isPresent();
    if (current) {
      return Health.OK;
    }
    return consensus
        .folderRefusalCause()
        .map(cause -> new Health(false, "data folder refuses writes: " + cause))
        .orElse(new Health(false, "not proved current by a quorum"));
  }

  private final class BackendRoutingAdministration implements RoutingAdministration {

    @Override
    public Promise<ChangeResult> submit(ChangeRequest request, long timeoutMillis) {
      return backend.submit(request, deadlineNanos(timeoutMillis));
    }

    @Override
    public Promise<ChangeResult> submitOrder(
        OperatorId operator, ConfigChange order, long timeoutMillis) {
      return backend.submitOrder(operator, order, deadlineNanos(timeoutMillis));
    }

    @Override
    public Promise<Optional<RoutingDocument>> read(long timeoutMillis) {
      return backend
          .readConfig(deadlineNanos(timeoutMillis))
          .map(confirmed -> stateMachine.config().routingDocument());
    }

    @Override
    public Promise<String> readQuarantine(long timeoutMillis) {
      return backend
          .readConfig(deadlineNanos(timeoutMillis))
          .map(
              confirmed ->
                  QuarantineListing.toJson(stateMachine.quarantine().entries()).toString());
    }

    @Override
    public Promise<Boolean> release(
        RequestFingerprint fingerprint, OperatorId operator, long timeoutMillis) {
      return backend
          .release(fingerprint, operator, deadlineNanos(timeoutMillis))
          .map(changed -> changed || stateMachine.quarantine().entry(fingerprint).isPresent());
    }

    private static long deadlineNanos(long timeoutMillis) {
      return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    }
  }
}
