package org.cornelspoke.daemon.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelspoke.coordination.admission.UpstreamGate;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.state.config.Preset;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.registry.TargetState;
import org.cornelspoke.transport.http.UpstreamPool;

/** The upstreams beside this daemon, their leases and their registration. */
final class LocalUpstreams {

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

  /**
   * Registers an upstream or renews its lease.
   *
   * @return false if the daemon is stopping
   */
  boolean announce(ServiceName service, Endpoint address, int slots, long leaseMillis) {
    if (stopping) {
      return false;
    }
    LocalUpstream upstream = upstreams.get(service);
    if (upstream != null && !upstream.address.equals(address)) {
      withdraw(service);
      upstream = null;
    }
    if (upstream == null) {
      upstream = create(service, address, slots);
      upstreams.put(service, upstream);
      publish(upstream);
    } else if (upstream.slots != slots) {
      upstream.slots = slots;
      upstream.gate.setAnnouncedSlots(slots);
      upstream.pool.setMaxConnections(slots);
      publish(upstream);
    }
    renewLease(upstream, leaseMillis);
    return true;
  }

  /**
   * Stops new work at once; what runs goes on. A later announcement renews the lease but does not
   * end the drain, so that a periodic renewal can't bring a leaving upstream back.
   *
   * @return false if the service was not announced
   */
  boolean drain(ServiceName service) {
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

  /**
   * Removes an upstream. What runs goes on.
   *
   * @return false if the service was not announced
   */
  boolean withdraw(ServiceName service) {
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

  private LocalUpstream create(ServiceName service, Endpoint address, int slots) {
    UpstreamGate gate = with.gates().create(service, slots, System.nanoTime());
    preset.ifPresent(gate::applyPreset);
    UpstreamPool pool =
        new UpstreamPool(
            with.reactor(),
            address,
            with.settings().maxBodyBytes(),
            slots,
            with.metrics().registry());
    pool.warmUp();
    LocalUpstream upstream = new LocalUpstream(service, address, gate, pool);
    upstream.slots = slots;
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
