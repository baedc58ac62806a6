package org.cornelspoke.daemon.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Stream;
import org.cornelspoke.coordination.admission.CallRooms;
import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.coordination.admission.UpstreamGate;
import org.cornelspoke.coordination.admission.UpstreamNotice;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.protocol.call.RootOrigin;
import org.cornelspoke.protocol.call.TargetNotice;
import org.cornelspoke.state.config.Preset;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.registry.TargetState;
import org.cornelspoke.state.view.FleetView;
import org.cornelspoke.transport.http.ResponseMemory;
import org.cornelspoke.transport.http.UpstreamPool;

/** Manages the local upstreams of this daemon, their leases and their registrations. */
final class LocalUpstreams implements UpstreamRegistration {

  private static final System.Logger LOGGER = System.getLogger(LocalUpstreams.class.getName());

  /** Requests named in the log line of a crash. */
  private static final int MAX_LOGGED_REQUESTS = 16;

  private final Collaborators collaborators;
  private final QuarantineCheck quarantine;
  private final Map<ServiceName, LocalUpstream> upstreams = new HashMap<>();

  /** Withdrawn upstreams that still have calls in flight. */
  private final Set<LocalUpstream> withdrawnUpstreams = new HashSet<>();

  private final ResponseMemory responseMemory;
  private Endpoint linkEndpoint;
  private Optional<Preset> preset = Optional.empty();

  /** The configuration, or empty before the first one has been received. */
  private Optional<FleetView> configuration = Optional.empty();

  /** Processes that have said to this daemon, or to the one before it, that they leave. */
  private final Set<String> departedProcesses = new HashSet<>();

  private boolean evacuated;
  private boolean stopping;

  LocalUpstreams(Collaborators collaborators) {
    this.collaborators = collaborators;
    this.quarantine =
        new QuarantineCheck(
            collaborators.quarantine(),
            collaborators.crashReporter(),
            collaborators.settings().daemonId());
    this.responseMemory = new ResponseMemory(collaborators.metrics().registry());
    this.linkEndpoint = collaborators.settings().linkAddress();
  }

  /** Sets the address at which other daemons reach this one; known once the server listens. */
  void setLinkEndpoint(Endpoint endpoint) {
    linkEndpoint = endpoint;
  }

  /** Returns the upstream of a service, or null if there is none. */
  LocalUpstream find(ServiceName service) {
    return upstreams.get(service);
  }

  /** Returns true if the target is a local upstream of this daemon. */
  boolean isLocal(Target target) {
    return target.daemon().equals(collaborators.settings().daemonId());
  }

  @Override
  public boolean announce(Announcement announcement) {
    if (stopping) {
      return false;
    }
    ServiceName service = announcement.service();
    LocalUpstream upstream = upstreams.get(service);
    boolean sameProcess =
        upstream != null
            && upstream.address.equals(announcement.address())
            && upstream.process.equals(announcement.process());
    if (upstream == null || !sameProcess) {
      CrashDetector crashDetector = crashDetector(announcement);
      if (upstream != null) {
        remove(upstream);
      }
      upstream = create(announcement, crashDetector);
      upstreams.put(service, upstream);
      upstream.onReport(announcement.coldRemainingMillis(), System.nanoTime());
      if (hasDeparted(upstream)) {
        drain(service);
      } else {
        publish(upstream);
      }
      renewLease(upstream, announcement.leaseMillis());
      return true;
    }
    upstream.onReport(announcement.coldRemainingMillis(), System.nanoTime());
    if (upstream.slots != announcement.slots()) {
      upstream.slots = announcement.slots();
      upstream.gate.setAnnouncedSlots(announcement.slots());
      upstream.pool.setMaxConnections(announcement.slots());
      publish(upstream);
    }
    renewLease(upstream, announcement.leaseMillis());
    return true;
  }

  @Override
  public boolean drain(ServiceName service) {
    LocalUpstream upstream = upstreams.get(service);
    if (upstream == null) {
      return false;
    }
    upstream.onDrainReported();
    startDraining(upstream);
    return true;
  }

  @Override
  public boolean withdraw(ServiceName service) {
    LocalUpstream upstream = upstreams.get(service);
    if (upstream == null) {
      return false;
    }
    upstream.crashDetector.stop();
    remove(upstream);
    return true;
  }

  @Override
  public void recordDeparture(ProcessId process, Runnable onRecorded) {
    departedProcesses.add(process.toString());
    collaborators.departures().recordDeparture(process.toString(), onRecorded);
  }

  /**
   * Applies which processes have said that they leave, as the control group knows it. Those that a
   * delayed report has announced after a restart of this daemon get no further calls.
   */
  void setDepartedProcesses(List<String> processes) {
    departedProcesses.addAll(processes);
    for (LocalUpstream upstream : new ArrayList<>(upstreams.values())) {
      if (hasDeparted(upstream)) {
        drain(upstream.service);
      }
    }
  }

  private boolean hasDeparted(LocalUpstream upstream) {
    return upstream.process.filter(id -> departedProcesses.contains(id.toString())).isPresent();
  }

  /** Withdraws all registrations and refuses new calls; calls in flight continue. */
  void beginStop() {
    stopping = true;
    for (LocalUpstream upstream : upstreams.values()) {
      upstream.draining = true;
      upstream.crashDetector.stop();
      upstream.leaseTimer.cancel();
      upstream.gate.setDraining(true);
      collaborators.publisher().withdraw(targetId(upstream.service));
    }
  }

  void close() {
    upstreams.values().forEach(upstream -> upstream.pool.close());
    upstreams.clear();
  }

  void applyPreset(Preset newPreset) {
    preset = Optional.of(newPreset);
    upstreams.values().forEach(upstream -> upstream.gate.applyPreset(newPreset));
  }

  /** Applies the policies of the services in a configuration. */
  void applyServicePolicies(FleetView view) {
    configuration = Optional.of(view);
    long nowNanos = System.nanoTime();
    upstreams
        .values()
        .forEach(
            upstream -> upstream.setServicePolicy(view.servicePolicy(upstream.service), nowNanos));
  }

  /** Applies whether the data centre of this daemon is evacuated. */
  void setEvacuated(boolean newEvacuated, long nowNanos) {
    if (evacuated == newEvacuated) {
      return;
    }
    evacuated = newEvacuated;
    collaborators.metrics().evacuated.inc(evacuated ? 1 : -1);
    LOGGER.log(
        System.Logger.Level.INFO,
        "event={0} dataCentre={1} upstreams={2}",
        evacuated ? "gates-evacuated" : "gates-restored",
        collaborators.settings().dataCentre(),
        upstreams.size());
    for (LocalUpstream upstream : upstreams.values()) {
      if (evacuated) {
        upstream.onEvacuated(nowNanos);
      } else {
        upstream.onEvacuationEnded(nowNanos);
      }
    }
  }

  void onTick(long nowNanos) {
    for (LocalUpstream upstream : new ArrayList<>(upstreams.values())) {
      upstream.onTick(nowNanos);
      upstream.capacity.updateMetrics(
          collaborators.metrics().registry(), collaborators.selector(), nowNanos);
    }
    for (LocalUpstream upstream : new ArrayList<>(withdrawnUpstreams)) {
      upstream.onTick(nowNanos);
    }
  }

  /** Processes what an upstream states about itself in the response to a request. */
  void onNotice(LocalUpstream upstream, UpstreamNotice notice, long sentAtNanos, long nowNanos) {
    upstream.onNotice(notice, sentAtNanos, nowNanos);
    drainIfLeaving(upstream);
  }

  /** Processes the notice that another daemon received from an upstream and sent with a call. */
  void onEarlierNotice(LocalUpstream upstream, TargetNotice notice) {
    upstream.onEarlierNotice(notice, System.nanoTime());
    drainIfLeaving(upstream);
  }

  /** Returns the check for requests that crash upstreams. */
  QuarantineCheck quarantine() {
    return quarantine;
  }

  void onCallStarted(LocalUpstream upstream, long nowNanos) {
    upstream.inFlight++;
    // Without pending requests there are no ticks, and the rate may have changed since the last.
    upstream.applyStatements(nowNanos);
  }

  void onCallEnded(LocalUpstream upstream) {
    upstream.inFlight--;
    if (upstream.inFlight == 0) {
      withdrawnUpstreams.remove(upstream);
    }
  }

  /** Records the start of a nested call made on behalf of the given request. */
  void onNestedCall(String parentRequestId, long nowNanos) {
    for (LocalUpstream upstream : upstreams.values()) {
      upstream.nestedCallStatistics.onCallStarted(parentRequestId, nowNanos);
    }
  }

  /** Records that the caller of a nested call gets its answer. */
  void onNestedCallAnswered(String parentRequestId, long nowNanos) {
    for (LocalUpstream upstream : upstreams.values()) {
      upstream.nestedCallStatistics.onCallEnded(parentRequestId, nowNanos);
    }
  }

  /** Returns true if the request has been sent to an upstream and has not ended. */
  boolean isRunning(String requestId) {
    return findRunning(
            statistics ->
                statistics.isRunning(requestId) ? Optional.of(requestId) : Optional.empty())
        .isPresent();
  }

  /** Returns the origin of a running request, or empty if the request is unknown. */
  Optional<RootOrigin> rootOf(String requestId) {
    return findRunning(statistics -> statistics.rootOf(requestId));
  }

  /** Returns the collector of what the calls of a running request report, or empty if unknown. */
  Optional<CallRooms> callRoomsOf(String requestId) {
    return findRunning(statistics -> statistics.callRoomsOf(requestId));
  }

  /** Returns the first result over all upstreams, since a withdrawn one still runs requests. */
  private <T> Optional<T> findRunning(Function<NestedCallStatistics, Optional<T>> lookup) {
    Optional<T> found = Optional.empty();
    for (LocalUpstream upstream : upstreams.values()) {
      found = found.or(() -> lookup.apply(upstream.nestedCallStatistics));
    }
    for (LocalUpstream upstream : withdrawnUpstreams) {
      found = found.or(() -> lookup.apply(upstream.nestedCallStatistics));
    }
    return found;
  }

  /** Records the fraction of requests for which a nested call on behalf of the root found room. */
  void onNestedCallRoom(RootOrigin root, double room, long nowNanos) {
    upstreams.values().forEach(upstream -> upstream.chains.onRoom(root, room, nowNanos));
  }

  /**
   * Records the load that a nested call encountered. If the daemon has several local upstreams, it
   * is unknown which of them made the call, so the load is applied to all of them.
   */
  void onNestedCallEnded(GateLoad load, long nowNanos) {
    upstreams.values().forEach(upstream -> upstream.onCallEnded(load, nowNanos));
  }

  /** Returns the number of calls queued or running at the upstreams, including withdrawn ones. */
  int inFlight() {
    int sum = 0;
    for (LocalUpstream upstream : upstreams.values()) {
      sum += upstream.inFlight;
    }
    for (LocalUpstream upstream : withdrawnUpstreams) {
      sum += upstream.inFlight;
    }
    return sum;
  }

  private void onCrash(ServiceName service, String process, List<LostRequest> running) {
    collaborators.metrics().upstreamCrashes.inc();
    quarantine.onCrash(process, service, running);
    LOGGER.log(
        System.Logger.Level.WARNING,
        "event=upstream-crashed service={0} process={1} running={2} requests={3}",
        service,
        process,
        running.size(),
        running.stream().limit(MAX_LOGGED_REQUESTS).map(LocalUpstreams::describe).toList());
  }

  private static String describe(LostRequest request) {
    return request.fingerprint()
        + " "
        + request.method()
        + " "
        + request.requestTarget()
        + " account="
        + request.account()
        + " runMillis="
        + TimeUnit.NANOSECONDS.toMillis(request.runNanos());
  }

  private void drainIfLeaving(LocalUpstream upstream) {
    // A withdrawn upstream must not be published again.
    if (upstream.isLeaving() && upstreams.get(upstream.service) == upstream) {
      startDraining(upstream);
    }
  }

  private void startDraining(LocalUpstream upstream) {
    if (!upstream.draining) {
      upstream.draining = true;
      upstream.crashDetector.stop();
      upstream.gate.setDraining(true);
      publish(upstream);
    }
  }

  /** Removes an upstream that gets no further calls; those in flight continue. */
  private void remove(LocalUpstream upstream) {
    upstreams.remove(upstream.service);
    upstream.draining = true;
    upstream.leaseTimer.cancel();
    upstream.gate.setDraining(true);
    upstream.pool.close();
    collaborators.publisher().withdraw(targetId(upstream.service));
    if (upstream.inFlight > 0) {
      withdrawnUpstreams.add(upstream);
    }
  }

  /**
   * Returns the detector of crashes at the announced address. It is shared with an upstream that
   * was there before, unless that one has left in an orderly way: requests that were sent to the
   * earlier one may run in the announced process.
   */
  private CrashDetector crashDetector(Announcement announcement) {
    Optional<LocalUpstream> earlier =
        Stream.concat(upstreams.values().stream(), withdrawnUpstreams.stream())
            .filter(upstream -> upstream.service.equals(announcement.service()))
            .filter(upstream -> !upstream.crashDetector.isStopped())
            .findFirst();
    if (earlier.isPresent()) {
      CrashDetector detector = earlier.get().crashDetector;
      if (earlier.get().address.equals(announcement.address())) {
        detector.onAnnounced(announcement.process(), System.nanoTime());
        return detector;
      }
      detector.onReplaced(System.nanoTime());
      detector.stop();
    }
    return new CrashDetector(
        new ConnectProbe(collaborators.reactor(), announcement.address()),
        collaborators.reactor(),
        announcement.process(),
        (process, running) -> onCrash(announcement.service(), process, running));
  }

  private LocalUpstream create(Announcement announcement, CrashDetector crashDetector) {
    LearningGate learningGate =
        collaborators
            .gates()
            .createLearning(announcement.service(), announcement.slots(), System.nanoTime());
    UpstreamGate gate = learningGate.gate();
    preset.ifPresent(gate::applyPreset);
    gate.setEvacuated(evacuated);
    UpstreamPool pool =
        new UpstreamPool(
            collaborators.reactor(),
            announcement.address(),
            collaborators.settings().maxBodyBytes(),
            announcement.slots(),
            collaborators.dialect().answerPolicy(),
            responseMemory,
            collaborators.metrics().registry());
    pool.warmUp();
    LocalUpstream upstream =
        new LocalUpstream(
            announcement.service(),
            announcement.address(),
            announcement.process(),
            gate,
            new UpstreamCapacity(
                announcement.service(), announcement.process(), learningGate.capacity()),
            new ChainAdmission(collaborators, announcement.service(), System.nanoTime()),
            pool,
            crashDetector,
            collaborators.metrics());
    upstream.slots = announcement.slots();
    configuration.ifPresent(
        view -> upstream.setServicePolicy(view.servicePolicy(upstream.service), System.nanoTime()));
    return upstream;
  }

  private void renewLease(LocalUpstream upstream, long leaseMillis) {
    if (upstream.leaseTimer != null) {
      upstream.leaseTimer.cancel();
    }
    // Not scheduled on the timer wheel: the wheel ticks as long as a timer is pending, and a lease
    // is always pending.
    upstream.leaseTimer =
        collaborators.reactor().delayBackground(leaseMillis, () -> onLeaseExpired(upstream));
  }

  private void onLeaseExpired(LocalUpstream upstream) {
    if (upstreams.get(upstream.service) == upstream) {
      collaborators.metrics().leasesEnded.inc();
      remove(upstream);
    }
  }

  private void publish(LocalUpstream upstream) {
    collaborators
        .publisher()
        .publish(
            new Target(
                targetId(upstream.service),
                upstream.service,
                collaborators.settings().daemonId(),
                collaborators.settings().dataCentre(),
                linkEndpoint,
                upstream.slots,
                upstream.draining ? TargetState.DRAINING : TargetState.UP));
  }

  private TargetId targetId(ServiceName service) {
    return new TargetId(collaborators.settings().daemonId().value() + ":" + service.value());
  }
}
