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
 * Chooses the target of each attempt from a bounded subset of a service's targets.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds.
 */
public interface TargetSelector {

  /** Replaces the known targets. */
  void setTargets(Map<ServiceName, List<Target>> targets, long nowNanos);

  /**
   * Chooses a target and increments its in-flight count.
   *
   * @param excluded targets that this request has already tried
   * @return the target, or empty if none of the remaining targets accepts new requests
   */
  Optional<Target> select(ServiceName service, Set<TargetId> excluded, long nowNanos);

  /**
   * Chooses a target like {@link #select(ServiceName, Set, long)} for a request of a known kind.
   * Selectors that don't compare targets by kind ignore it.
   */
  default Optional<Target> select(RequestKind kind, Set<TargetId> excluded, long nowNanos) {
    return select(kind.service(), excluded, nowNanos);
  }

  /**
   * Records the result of an attempt started by {@link #select} and decrements the in-flight count.
   *
   * @param kind kind of the request; latencies are compared within a kind
   */
  void onResult(
      TargetId target, RequestKind kind, AttemptResult result, long latencyNanos, long nowNanos);

  /** Records the load that a target reported with a reply. */
  void onLoad(TargetId target, GateLoad load, long nowNanos);

  /**
   * Records what the daemon beside a target has learned about its upstream. Selectors that don't
   * use estimates ignore it.
   *
   * @param kind kind of the request to which the estimate was attached
   * @param concurrency requests that the upstream serves at the same time without slowing down, or
   *     0 if the response carried no estimate
   * @param workNanos mean time for which the upstream works on a request of the kind
   */
  default void onEstimate(
      TargetId target, RequestKind kind, int concurrency, long workNanos, long nowNanos) {}

  /** Returns the mean work time of a kind over its targets, or 0 if it is unknown. */
  default double meanWorkNanos(RequestKind kind) {
    return 0;
  }

  /** Result of an attempt as far as it matters for target selection. */
  enum AttemptResult {
    /** A complete response that is not a server error. */
    SUCCESS,
    /** The target refused the request because it is busy; the target is healthy. */
    REFUSED,
    /** The target failed: server error, broken link, timeout. */
    FAILURE,
    /** The caller cancelled the request; carries no information about the target. */
    CANCELLED
  }
}
