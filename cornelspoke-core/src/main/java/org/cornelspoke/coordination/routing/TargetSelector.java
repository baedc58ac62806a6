package org.cornelspoke.coordination.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.state.registry.Target;

/**
 * Chooses the target of each attempt among a bounded subset of a service's targets.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds.
 */
public interface TargetSelector {

  /** Replaces the known targets. */
  void setTargets(Map<ServiceName, List<Target>> targets, long nowNanos);

  /**
   * Chooses a target and counts an attempt in flight to it.
   *
   * @param excluded targets that this request has tried
   * @return empty if no target is left that may take new work
   */
  Optional<Target> select(ServiceName service, Set<TargetId> excluded, long nowNanos);

  /**
   * Ends an attempt that {@link #select} counted.
   *
   * @param kind what was asked; latencies are compared within a kind
   */
  void onResult(
      TargetId target, RequestKind kind, AttemptResult result, long latencyNanos, long nowNanos);

  /** Takes the load that a reply reported. */
  void onLoad(TargetId target, GateLoad load, long nowNanos);

  /** How an attempt ended, as far as the choice of targets is concerned. */
  enum AttemptResult {
    /** A whole answer that is not a server error. */
    SUCCESS,
    /** The target refused the request because it is busy; the target is healthy. */
    REFUSED,
    /** The target failed: server error, broken link, timeout. */
    FAILURE,
    /** The caller left; says nothing about the target. */
    CANCELLED
  }
}
