package org.cornelspoke.coordination.routing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.math3.random.RandomGenerator;
import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.util.Assert;

/**
 * Keeps a subset of each service's targets by rendezvous hashing, prefers the local data centre
 * while it has unsaturated targets, and chooses the cheaper of two random candidates.
 *
 * <p>Not safe for use by several threads.
 */
public final class DefaultTargetSelector implements TargetSelector {

  /** Maximum targets per service that one daemon uses, which bounds the number of its links. */
  public static final int DEFAULT_SUBSET_SIZE = 20;

  /** Significant difference of failure ratios that cover about ten attempts. */
  private static final double FAILURE_RATIO_MARGIN = 0.15;

  private final DaemonId self;
  private final DataCentreId dataCentre;
  private final int subsetSize;
  private final RandomGenerator random;
  private final TargetCost targetCost;
  private final Map<TargetId, TargetStats> stats = new HashMap<>();
  private final Map<ServiceName, List<TargetStats>> subsets = new HashMap<>();
  private final Map<RequestKind, MeanLatency> meanLatencies = new HashMap<>();

  /**
   * Creates a selector without targets.
   *
   * @param self id of this daemon; different daemons use different subsets
   * @param dataCentre data centre of this daemon
   * @param subsetSize maximum number of targets per service
   * @param random source of random numbers
   */
  public DefaultTargetSelector(
      DaemonId self, DataCentreId dataCentre, int subsetSize, RandomGenerator random) {
    this(self, dataCentre, subsetSize, random, LoadCost.INSTANCE);
  }

  /**
   * Creates a selector without targets that compares them by another cost.
   *
   * @param targetCost cost of a candidate, used by this selector only
   */
  public DefaultTargetSelector(
      DaemonId self,
      DataCentreId dataCentre,
      int subsetSize,
      RandomGenerator random,
      TargetCost targetCost) {
    Assert.isTrue(subsetSize >= 1, "subsetSize must be 1 or more");
    this.self = Assert.notNull(self, "self");
    this.dataCentre = Assert.notNull(dataCentre, "dataCentre");
    this.subsetSize = subsetSize;
    this.random = Assert.notNull(random, "random");
    this.targetCost = Assert.notNull(targetCost, "targetCost");
  }

  @Override
  public void setTargets(Map<ServiceName, List<Target>> targets, long nowNanos) {
    Map<ServiceName, List<TargetStats>> previous = Map.copyOf(subsets);
    subsets.clear();
    Map<TargetId, TargetStats> kept = new HashMap<>();
    targets.forEach(
        (service, serviceTargets) -> {
          // The first targets of a service are new to this daemon but already in use by others.
          boolean slowStart = previous.containsKey(service);
          List<TargetStats> subset = new ArrayList<>();
          for (Target target : chooseSubset(serviceTargets)) {
            TargetStats targetStats = stats.get(target.id());
            if (targetStats == null) {
              targetStats = new TargetStats(target, slowStart, nowNanos);
            } else {
              targetStats.update(target);
            }
            kept.put(target.id(), targetStats);
            subset.add(targetStats);
          }
          subsets.put(service, subset);
        });
    stats.clear();
    stats.putAll(kept);
    meanLatencies.keySet().removeIf(kind -> !targets.containsKey(kind.service()));
  }

  @Override
  public Optional<Target> select(ServiceName service, Set<TargetId> excluded, long nowNanos) {
    return select(service, null, excluded, nowNanos);
  }

  @Override
  public Optional<Target> select(RequestKind kind, Set<TargetId> excluded, long nowNanos) {
    return select(kind.service(), kind, excluded, nowNanos);
  }

  private Optional<Target> select(
      ServiceName service, RequestKind kind, Set<TargetId> excluded, long nowNanos) {
    List<TargetStats> subset = subsets.getOrDefault(service, List.of());
    List<TargetStats> usable = new ArrayList<>(subset.size());
    for (TargetStats candidate : subset) {
      if (candidate.acceptsNewRequests() && !excluded.contains(candidate.target().id())) {
        usable.add(candidate);
      }
    }
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    List<TargetStats> healthy = new ArrayList<>(usable);
    healthy.removeIf(candidate -> candidate.isEjected(nowNanos));
    removeFailing(healthy, nowNanos);
    List<TargetStats> remaining = healthy.isEmpty() ? usable : healthy;
    TargetCost cost = targetCost.forRequest(kind, remaining, nowNanos);
    TargetStats chosen;
    if (cost.includesDistance()) {
      chosen = cheapestOfBothGroups(remaining, cost, nowNanos);
    } else {
      chosen =
          cheapest(
              healthy.isEmpty() ? usable : preferLocal(healthy, nowNanos), true, cost, nowNanos);
    }
    chosen.onStart();
    return Optional.of(chosen.target());
  }

  @Override
  public void onResult(
      TargetId target, RequestKind kind, AttemptResult result, long latencyNanos, long nowNanos) {
    TargetStats targetStats = stats.get(target);
    if (targetStats == null) {
      return;
    }
    double relativeLatency =
        result == AttemptResult.SUCCESS
            ? meanLatencies
                .computeIfAbsent(kind, unused -> new MeanLatency())
                .recordRelative(latencyNanos)
            : 0;
    if (targetStats.onEnd(result, relativeLatency, nowNanos)
        && mayEject(targetStats.target().service(), nowNanos)) {
      targetStats.eject(nowNanos);
    }
  }

  @Override
  public void onLoad(TargetId target, GateLoad load, long nowNanos) {
    TargetStats targetStats = stats.get(target);
    if (targetStats != null) {
      targetStats.onLoad(load, nowNanos);
    }
  }

  @Override
  public void onEstimate(
      TargetId target, RequestKind kind, int concurrency, long workNanos, long nowNanos) {
    TargetStats targetStats = stats.get(target);
    if (targetStats != null) {
      targetStats.onEstimate(kind.workKind().index(), concurrency, workNanos, nowNanos);
      if (concurrency > 0 && workNanos > 0) {
        targetCost.onEstimate(kind, workNanos);
      }
    }
  }

  @Override
  public double meanWorkNanos(RequestKind kind) {
    return targetCost.meanWorkNanos(kind);
  }

  /** Returns true if the target is ejected at this time. */
  public boolean isEjected(TargetId target, long nowNanos) {
    TargetStats targetStats = stats.get(target);
    return targetStats != null && targetStats.isEjected(nowNanos);
  }

  /** Returns the ids of the targets of a service that this daemon uses. */
  public List<TargetId> subset(ServiceName service) {
    return subsets.getOrDefault(service, List.of()).stream()
        .map(targetStats -> targetStats.target().id())
        .toList();
  }

  private List<Target> chooseSubset(List<Target> serviceTargets) {
    Comparator<Target> order =
        Comparator.comparing((Target target) -> !target.dataCentre().equals(dataCentre))
            .thenComparing(this::score)
            .thenComparing(target -> target.id().value());
    List<Target> sorted = new ArrayList<>(serviceTargets);
    sorted.sort(order);
    if (sorted.size() <= subsetSize) {
      return sorted;
    }
    // Half of the subset is reserved for remote targets, so that a daemon can spill over.
    long localTotal = sorted.stream().filter(t -> t.dataCentre().equals(dataCentre)).count();
    int remoteCount = (int) Math.min(sorted.size() - localTotal, subsetSize / 2);
    int localCount = (int) Math.min(localTotal, subsetSize - remoteCount);
    List<Target> subset = new ArrayList<>(sorted.subList(0, localCount));
    subset.addAll(
        sorted.subList(
            (int) localTotal,
            (int) localTotal
                + Math.min(subsetSize - localCount, sorted.size() - (int) localTotal)));
    return subset;
  }

  private long score(Target target) {
    return Hashing.murmur3_128()
        .hashString(self.value() + '/' + target.id().value(), StandardCharsets.UTF_8)
        .asLong();
  }

  /**
   * Removes the candidates whose failure ratio is clearly above the lowest one of the unsaturated
   * candidates. This avoids targets that fail a fraction of their requests; failures at all targets
   * have another cause and remove none.
   */
  private static void removeFailing(List<TargetStats> candidates, long nowNanos) {
    double lowestRatio = 1;
    for (TargetStats candidate : candidates) {
      if (!candidate.isSaturated(nowNanos)) {
        lowestRatio = Math.min(lowestRatio, candidate.recentFailureRatio(nowNanos));
      }
    }
    double maxRatio = lowestRatio + FAILURE_RATIO_MARGIN;
    candidates.removeIf(candidate -> candidate.recentFailureRatio(nowNanos) > maxRatio);
  }

  /** Returns the unsaturated local candidates, or all candidates if there are none. */
  private List<TargetStats> preferLocal(List<TargetStats> healthy, long nowNanos) {
    List<TargetStats> local = new ArrayList<>(healthy.size());
    boolean anyUnsaturated = false;
    for (TargetStats candidate : healthy) {
      if (isLocal(candidate)) {
        local.add(candidate);
        anyUnsaturated |= !candidate.isSaturated(nowNanos);
      }
    }
    if (anyUnsaturated) {
      local.removeIf(candidate -> candidate.isSaturated(nowNanos));
      return local;
    }
    return healthy;
  }

  private TargetStats cheapestOfBothGroups(
      List<TargetStats> targets, TargetCost cost, long nowNanos) {
    List<TargetStats> local = new ArrayList<>(targets.size());
    List<TargetStats> remote = new ArrayList<>(targets.size());
    for (TargetStats candidate : targets) {
      (isLocal(candidate) ? local : remote).add(candidate);
    }
    if (local.isEmpty() || remote.isEmpty()) {
      return cheapest(targets, remote.isEmpty(), cost, nowNanos);
    }
    TargetStats near = cheapest(local, true, cost, nowNanos);
    TargetStats far = cheapest(remote, false, cost, nowNanos);
    return cost.cost(near, true, nowNanos) <= cost.cost(far, false, nowNanos) ? near : far;
  }

  /** Returns the cheapest of random candidates; removes the candidates from the list. */
  private TargetStats cheapest(
      List<TargetStats> targets, boolean local, TargetCost cost, long nowNanos) {
    int count = Math.min(targets.size(), cost.candidateCount());
    TargetStats best = null;
    double lowestCost = 0;
    for (int i = 0; i < count; i++) {
      TargetStats candidate = targets.remove(random.nextInt(targets.size()));
      double candidateCost = count == 1 ? 0 : cost.cost(candidate, local, nowNanos);
      if (best == null || candidateCost < lowestCost) {
        best = candidate;
        lowestCost = candidateCost;
      }
    }
    return best;
  }

  private boolean isLocal(TargetStats candidate) {
    return candidate.target().dataCentre().equals(dataCentre);
  }

  private boolean mayEject(ServiceName service, long nowNanos) {
    List<TargetStats> subset = subsets.getOrDefault(service, List.of());
    long ejected = subset.stream().filter(targetStats -> targetStats.isEjected(nowNanos)).count();
    return (ejected + 1) * 2 <= subset.size();
  }
}
