package org.cornelspoke.daemon.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.coordination.admission.UpstreamGate;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.state.config.Preset;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.registry.TargetState;
import org.cornelspoke.transport.http.UpstreamPool;

/** The upstreams beside this daemon, their leases and their registration. */
final class LocalUpstreams implements UpstreamRegistration {

  private final Collaborators with;
  private final Map<ServiceName, LocalUpstream> upstreams = new HashMap<>();
  private final Set<LocalUpstream> leaving = new HashSet<>();
  private Endpoint linkEndpoint;
  private Optional<Preset> preset = Optional.empty();
  private boolean stopping;

  LocalUpstreams(Collaborators with) {
    this.with = with;
    this.linkEndpoint = with.settings().linkAddress();
  }

  /** Sets the address at which other daemons reach this one, known once the server listens. */
  void setLinkEndpoint(Endpoint endpoint) {
    linkEndpoint = endpoint;
  }

  /** Returns the upstream of a service, or null. */
  LocalUpstream find(ServiceName service) {
    return upstreams.get(service);
  }

  /** Returns true if the target is beside this daemon. */
  boolean isLocal(Target target) {
    return target.daemon().equals(with.settings().daemonId());
  }

  @Override
  public boolean announce(Announcement said) {
    if (stopping) {
      return false;
    }
    ServiceName service = said.service();
    LocalUpstream upstream = upstreams.get(service);
    boolean sameProcess =
        upstream != null
            && upstream.address.equals(said.address())
            && Objects.equals(upstream.instance, said.instance());
    if (upstream != null && !sameProcess) {
      withdraw(service);
      upstream = null;
    }
    if (upstream == null) {
      upstream = create(said);
      upstreams.put(service, upstream);
      publish(upstream);
    } else if (upstream.slots != said.slots()) {
      upstream.slots = said.slots();
      upstream.gate.setAnnouncedSlots(said.slots());
      upstream.pool.setMaxConnections(said.slots());
      publish(upstream);
    }
    renewLease(upstream, said.leaseMillis());
    return true;
  }

  @Override
  public boolean drain(ServiceName service) {
    LocalUpstream upstream = upstreams.get(service);
    if (upstream == null) {
      return false;
    }
    if (!upstream.draining) {
      upstream.draining = true;
      upstream.gate.setDraining(true);
      publish(upstream);
    }
    return true;
  }

  @Override
  public boolean withdraw(ServiceName service) {
    LocalUpstream upstream = upstreams.remove(service);
    if (upstream == null) {
      return false;
    }
    upstream.draining = true;
    upstream.lease.cancel();
    upstream.gate.setDraining(true);
    upstream.pool.close();
    with.publisher().withdraw(targetId(service));
    if (upstream.inFlight > 0) {
      leaving.add(upstream);
    }
    return true;
  }

  /** Withdraws every registration and refuses new work, but keeps the upstreams usable. */
  void startStopping() {
    stopping = true;
    for (LocalUpstream upstream : upstreams.values()) {
      upstream.draining = true;
      upstream.lease.cancel();
      upstream.gate.setDraining(true);
      with.publisher().withdraw(targetId(upstream.service));
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

  void onTick(long nowNanos) {
    for (LocalUpstream upstream : new ArrayList<>(upstreams.values())) {
      upstream.gate.onTick(nowNanos);
    }
    for (LocalUpstream upstream : new ArrayList<>(leaving)) {
      upstream.gate.onTick(nowNanos);
    }
  }

  void onCallStarted(LocalUpstream upstream) {
    upstream.inFlight++;
  }

  void onCallEnded(LocalUpstream upstream) {
    upstream.inFlight--;
    if (upstream.inFlight == 0) {
      leaving.remove(upstream);
    }
  }

  /** Notes a call that names the request on whose behalf it is made. */
  void onNestedCall(String parentRequestId) {
    upstreams.values().forEach(upstream -> upstream.callers.onCall(parentRequestId));
  }

  /**
   * Takes the load that a call of a local upstream met. With several upstreams beside one daemon it
   * is not known which of them made the call, so all of them heed it.
   */
  void onNestedCallEnded(GateLoad load, long nowNanos) {
    upstreams.values().forEach(upstream -> upstream.onCallEnded(load, nowNanos));
  }

  /** Returns the calls that wait at or run on an upstream. */
  int inFlight() {
    int sum = 0;
    for (LocalUpstream upstream : upstreams.values()) {
      sum += upstream.inFlight;
    }
    for (LocalUpstream upstream : leaving) {
      sum += upstream.inFlight;
    }
    return sum;
  }

  private LocalUpstream create(Announcement said) {
    UpstreamGate gate = with.gates().create(said.service(), said.slots(), System.nanoTime());
    preset.ifPresent(gate::applyPreset);
    UpstreamPool pool =
        new UpstreamPool(
            with.reactor(),
            said.address(),
            with.settings().maxBodyBytes(),
            said.slots(),
            with.dialect().answerPolicy(),
            with.metrics().registry());
    pool.warmUp();
    LocalUpstream upstream =
        new LocalUpstream(
            said.service(),
            said.address(),
            said.instance(),
            gate,
            with.rootThrottles().get(),
            pool);
    upstream.slots = said.slots();
    return upstream;
  }

  private void renewLease(LocalUpstream upstream, long leaseMillis) {
    if (upstream.lease != null) {
      upstream.lease.cancel();
    }
    // Not a wheel timer: the wheel ticks while a timer waits, and a lease waits all the time.
    upstream.lease = with.reactor().delayBackground(leaseMillis, () -> onLeaseEnded(upstream));
  }

  private void onLeaseEnded(LocalUpstream upstream) {
    if (upstreams.get(upstream.service) == upstream) {
      with.metrics().leasesEnded.inc();
      withdraw(upstream.service);
    }
  }

  private void publish(LocalUpstream upstream) {
    with.publisher()
        .publish(
            new Target(
                targetId(upstream.service),
                upstream.service,
                with.settings().daemonId(),
                with.settings().dataCentre(),
                linkEndpoint,
                upstream.slots,
                upstream.draining ? TargetState.DRAINING : TargetState.UP));
  }

  private TargetId targetId(ServiceName service) {
    return new TargetId(with.settings().daemonId().value() + ":" + service.value());
  }
}
