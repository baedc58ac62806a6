package org.cornelspoke.daemon.traffic;

import java.util.Optional;
import org.cornelspoke.coordination.admission.GateRequest;
import org.cornelspoke.coordination.admission.PressureEstimator;
import org.cornelspoke.coordination.admission.RootRequestThrottle;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.protocol.call.CallHead;
import org.cornelspoke.protocol.call.RootOrigin;
import org.cornelspoke.state.config.Account;

/**
 * Admission at one upstream by the call chain that a request belongs to. If chain admission is off,
 * root origins are ignored and every call counts as a request of its own.
 *
 * <p>Confined to the reactor thread.
 */
final class ChainAdmission {

  private final Collaborators collaborators;
  private final boolean enabled;
  private final RootRequestThrottle throttle;
  private final PressureEstimator downstreamPressure = new PressureEstimator();

  ChainAdmission(Collaborators collaborators) {
    this.collaborators = collaborators;
    this.enabled = collaborators.settings().chainAdmission().enabled();
    this.throttle = collaborators.rootThrottles().get();
  }

  /**
   * Returns true for a request of a client. Requests under the shared open account count as calls
   * made by other upstreams.
   */
  boolean isRoot(CallHead head) {
    return rootOf(head).isEmpty() && !head.account().equals(EdgeHandler.OPEN_ACCOUNT);
  }

  /** Returns true if a root request that makes calls may be submitted to the gate. */
  boolean admits(CallHead head, long nowNanos) {
    return throttle.tryAdmit(
        head.trafficClass(), head.account(), downstreamPressure.percent(nowNanos), nowNanos);
  }

  /** Returns the time after which a root request that was not admitted may be. */
  long retryAfterMillis(CallHead head, long nowNanos) {
    return throttle.retryAfterMillis(head.trafficClass(), nowNanos);
  }

  /**
   * Returns the request for the gate. A nested call is queued by the class and account of its root.
   * An account that this daemon doesn't know shares the open account, so that the state of the gate
   * is bounded by the configuration.
   */
  GateRequest gateRequest(CallHead head, long deadlineNanos) {
    Optional<RootOrigin> root = rootOf(head);
    if (root.isEmpty()) {
      return new GateRequest(head.account(), head.weight(), head.trafficClass(), deadlineNanos);
    }
    Optional<Account> account = collaborators.views().current().account(root.get().account());
    return new GateRequest(
        account.map(Account::id).orElse(EdgeHandler.OPEN_ACCOUNT),
        account.map(Account::weight).orElse(1),
        root.get().trafficClass(),
        deadlineNanos,
        true);
  }

  /** Returns the origin that the calls made on behalf of the request inherit. */
  Optional<RootOrigin> originOf(CallHead head, long nowNanos) {
    if (!enabled || head.metadata().root().isPresent()) {
      return rootOf(head);
    }
    AccountId account = head.account();
    return isRoot(head)
        ? Optional.of(
            new RootOrigin(
                account,
                head.trafficClass(),
                throttle.admittedFraction(head.trafficClass(), account, nowNanos)))
        : Optional.empty();
  }

  private Optional<RootOrigin> rootOf(CallHead head) {
    return enabled ? head.metadata().root() : Optional.empty();
  }

  /** Records the pressure reported at the end of a call that the upstream made. */
  void onCallEnded(int pressurePercent, long nowNanos) {
    downstreamPressure.record(pressurePercent, nowNanos);
  }

  /** Returns the pressure of the gates that the upstream's calls passed. */
  int downstreamPressurePercent(long nowNanos) {
    return downstreamPressure.percent(nowNanos);
  }
}
