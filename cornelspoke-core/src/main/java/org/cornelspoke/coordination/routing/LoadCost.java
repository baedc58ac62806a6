package org.cornelspoke.coordination.routing;

import java.util.List;

/** Cost from the latency and the load that this daemon has seen itself. */
final class LoadCost implements TargetCost {

  static final LoadCost INSTANCE = new LoadCost();

  private LoadCost() {}

  @Override
  public TargetCost forRequest(RequestKind kind, List<TargetStats> targets, long nowNanos) {
    return this;
  }

  @Override
  public double cost(TargetStats target, boolean local, long nowNanos) {
    return target.cost(nowNanos);
  }

  @Override
  public int candidateCount() {
    return 2;
  }

  @Override
  public boolean includesDistance() {
    return false;
  }
}
