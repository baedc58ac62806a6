package org.cornelspoke.coordination.routing;

import java.util.List;

/**
 * Cost of sending a request to a target, by which a selector compares candidates.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds.
 */
public interface TargetCost {

  /** Returns the cost from the latency and the load that this daemon has seen itself. */
  static TargetCost byLoad() {
    return LoadCost.INSTANCE;
  }

  /**
   * Prepares the comparison of targets for one request.
   *
   * @param kind kind of the request, or null if it is unknown
   * @return the cost to use for this request: this one, or another one if too little is known
   */
  TargetCost forRequest(RequestKind kind, List<TargetStats> targets, long nowNanos);

  /**
   * Returns the cost of another request at the target; lower is better. Only costs of the same
   * request are comparable.
   *
   * @param local true if the target is in the data centre of this daemon
   */
  double cost(TargetStats target, boolean local, long nowNanos);

  /** Returns the number of random candidates that are compared in each group of targets. */
  int candidateCount();

  /**
   * Returns true if the cost contains the way to another data centre; then local and remote targets
   * are two groups of candidates. Otherwise remote targets are used only if the local ones are
   * saturated.
   */
  boolean includesDistance();

  /** Records an estimate of a target's work time; see {@link TargetSelector#onEstimate}. */
  default void onEstimate(RequestKind kind, long workNanos) {}

  /** Returns the mean work time of a kind of request over its targets, or 0 if it is unknown. */
  default double meanWorkNanos(RequestKind kind) {
    return 0;
  }
}
