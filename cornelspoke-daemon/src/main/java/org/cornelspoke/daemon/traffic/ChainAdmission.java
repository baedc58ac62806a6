package org.cornelspoke.daemon.traffic;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import org.cornelspoke.coordination.admission.CallRooms;
import org.cornelspoke.coordination.admission.ChainAdmissionSettings;
import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.coordination.admission.GateRequest;
import org.cornelspoke.coordination.admission.PressureEstimator;
import org.cornelspoke.coordination.admission.RoomEstimator;
import org.cornelspoke.coordination.admission.RoomThrottle;
import org.cornelspoke.coordination.admission.RootRequestThrottle;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.protocol.call.CallHead;
import org.cornelspoke.protocol.call.RootOrigin;
import org.cornelspoke.state.config.Account;

/**
 * Admission at one upstream by the call chain that a request belongs to: throttles root requests by
 * what the called services report, has nested calls queued by their root, and reports for which
 * fraction of the calls the upstream has capacity. If the setting is off, root origins are ignored
 * and every call counts as a request of its own.
 *
 * <p>Confined to the reactor thread.
 */
final class ChainAdmission {

  private final Collaborators collaborators;
  private final boolean enabled;
  private final RootRequestThrottle throttle;
  private final PressureEstimator downstreamPressure = new PressureEstimator();
  private final RoomEstimator estimator;
  private final ChainReporter reporter;

  ChainAdmission(Collaborators collaborators, ServiceName service, long nowNanos) {
    ChainAdmissionSettings settings = collaborators.settings().chainAdmission();
    this.collaborators = collaborators;
    this.enabled = settings.enabled();
    this.throttle =
        enabled ? new RoomThrottle(new SplittableRandom()) : collaborators.rootThrottles().get();
    this.estimator = new RoomEstimator(settings.targetUtilisation(), nowNanos);
    this.reporter =
        enabled ? new ChainReporter(collaborators.metrics().registry(), service, nowNanos) : null;
  }

  /**
   * Returns true for a request of a client. Requests under the shared open account count as calls
   * made by other upstreams.
   */
  boolean isRoot(CallHead head) {
    return rootOf(head).isEmpty() && !head.account().equals(EdgeHandler.OPEN_ACCOUNT);
  }

  /**
   * Counts a request that arrives and returns it as it is for the gate. A nested call is queued by
   * the class and account of its root. An account that this daemon doesn't know shares the open
   * account, so that the state is bounded by the configuration.
   */
  GateRequest onArrival(CallHead head, long deadlineNanos) {
    Optional<RootOrigin> root = rootOf(head);
    GateRequest request =
        root.isPresent()
            ? nestedRequest(root.get(), deadlineNanos)
            : new GateRequest(head.account(), head.weight(), head.trafficClass(), deadlineNanos);
    if (enabled) {
      estimator.onArrival(request, root.map(RootOrigin::admittedFraction).orElse(1.0));
    }
    return request;
  }

  private GateRequest nestedRequest(RootOrigin root, long deadlineNanos) {
    Optional<Account> account = collaborators.views().current().account(root.account());
    return new GateRequest(
        account.map(Account::id).orElse(EdgeHandler.OPEN_ACCOUNT),
        account.map(Account::weight).orElse(1),
        root.trafficClass(),
        deadlineNanos,
        true);
  }

  /** Returns true if a root request that makes calls may be submitted to the gate. */
  boolean admits(CallHead head, long nowNanos) {
    boolean admitted =
        throttle.tryAdmit(
            head.trafficClass(), head.account(), downstreamPressure.percent(nowNanos), nowNanos);
    if (!admitted && enabled) {
      reporter.onRefusedAtEntry(head.trafficClass());
    }
    return admitted;
  }

  /** Returns the time after which a root request that was not admitted may be. */
  long retryAfterMillis(CallHead head, long nowNanos) {
    return throttle.retryAfterMillis(head.trafficClass(), nowNanos);
  }

  /**
   * Returns the origin that the calls made on behalf of the request inherit.
   *
   * @param throttled true if requests of the class are throttled because they make calls
   */
  Optional<RootOrigin> originOf(CallHead head, boolean throttled, long nowNanos) {
    if (!enabled || head.metadata().root().isPresent()) {
      return rootOf(head);
    }
    if (!isRoot(head)) {
      return Optional.empty();
    }
    double fraction =
        throttled ? throttle.admittedFraction(head.trafficClass(), head.account(), nowNanos) : 1;
    return Optional.of(new RootOrigin(head.account(), head.trafficClass(), fraction));
  }

  /** Returns a collector of what the calls of a request report, or empty if it isn't needed. */
  Optional<CallRooms> newCallRooms() {
    return enabled ? Optional.of(new CallRooms()) : Optional.empty();
  }

  /** Records the time for which a request held its slot. */
  void onServed(GateRequest request, long heldNanos) {
    if (enabled) {
      estimator.onServed(request, heldNanos);
    }
  }

  /**
   * Returns the fraction of the requests of the root's class and account for which the upstream and
   * the services that it calls have capacity, or empty for a request without a known root.
   */
  OptionalDouble room(CallHead head, GateRequest request, Optional<CallRooms> callRooms) {
    if (rootOf(head).isEmpty()) {
      return OptionalDouble.empty();
    }
    double room = estimator.room(request.trafficClass(), request.account());
    OptionalDouble below = callRooms.map(CallRooms::room).orElse(OptionalDouble.empty());
    return OptionalDouble.of(Math.min(room, below.orElse(1)));
  }

  /** Records the fraction that a call on behalf of the root reported. */
  void onRoom(RootOrigin root, double room, long nowNanos) {
    if (enabled) {
      throttle.onRoom(root.trafficClass(), root.account(), room, nowNanos);
    }
  }

  /** Records the pressure reported at the end of a call that the upstream made. */
  void onCallEnded(int pressurePercent, long nowNanos) {
    downstreamPressure.record(pressurePercent, nowNanos);
  }

  /** Returns the pressure of the gates that the upstream's calls passed. */
  int downstreamPressurePercent(long nowNanos) {
    return downstreamPressure.percent(nowNanos);
  }

  /** Updates the measurement; called every few milliseconds while requests are pending. */
  void onTick(GateLoad load, long nowNanos) {
    if (enabled) {
      estimator.onTick(load, nowNanos);
      reporter.onTick(estimator, nowNanos);
    }
  }

  private Optional<RootOrigin> rootOf(CallHead head) {
    return enabled ? head.metadata().root() : Optional.empty();
  }
}
