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
 * Keeps a subset of each service's targets by rendezvous hashing, prefers the own data centre while
 * it has targets that are not saturated, and takes the better of two random candidates.
 *
 * <p>Not safe for use by several threads.
 */
public final class DefaultTargetSelector implements TargetSelector {

  /** Targets of a service that one daemon uses, which bounds its links. */
  public static final int DEFAULT_SUBSET_SIZE = 20;

  /** Difference of failure rates that is no chance, given that some ten attempts count. */
  private static final double FAILURE_MARGIN = 0.15;

  private final DaemonId self;
  private final DataCentreId dataCentre;
  private final int subsetSize;
  private final RandomGenerator random;
  private final Map<TargetId, TargetStats> stats = new HashMap<>();
  private final Map<ServiceName, List<TargetStats>> subsets = new HashMap<>();
  private final Map<RequestKind, MeanLatency> typicalLatencies = new HashMap<>();

  /**
   * Creates a selector without targets.
   *
   * @param self the daemon that chooses; different daemons use different subsets
   * @param dataCentre data centre of this daemon
   * @param subsetSize targets per service
   * @param random source of random numbers
   */
  public DefaultTargetSelector(
      DaemonId self, DataCentreId dataCentre, int subsetSize, RandomGenerator random) {
    Assert.isTrue(subsetSize >= 1, "subsetSize must be 1 or more");
    this.self = Assert.notNull(self, "self");
    this.dataCentre = Assert.notNull(dataCentre, "dataCentre");
    this.subsetSize = subsetSize;
    this.random = Assert.notNull(random, "random");
  }

  @Override
  public void setTargets(Map<ServiceName, List<Target>> targets, long nowNanos) {
    Map<ServiceName, List<TargetStats>> previous = Map.copyOf(subsets);
    subsets.clear();
    Map<TargetId, TargetStats> kept = new HashMap<>();
    targets.forEach(
        (service, all) -> {
          // The first targets of a service are not new to the fleet, only to this daemon.
          boolean slowStart = previous.containsKey(service);
          List<TargetStats> subset = new ArrayList<>();
          for (Target target : chooseSubset(all)) {
            TargetStats known = stats.get(target.id());
            if (known == null) {
              known = new TargetStats(target, slowStart, nowNanos);
            } else {
              known.update(target);
            }
            kept.put(target.id(), known);
            subset.add(known);
          }
          subsets.put(service, subset);
        });
    stats.clear();
    stats.putAll(kept);
    typicalLatencies.keySet().removeIf(kind -> !targets.containsKey(kind.service()));
  }

  @Override
  public Optional<Target> select(ServiceName service, Set<TargetId> excluded, long nowNanos) {
    List<TargetStats> subset = subsets.getOrDefault(service, List.of());
    List<TargetStats> usable = new ArrayList<>(subset.size());
    for (TargetStats candidate : subset) {
      if (candidate.takesNewWork() && !excluded.contains(candidate.target().id())) {
        usable.add(candidate);
      }
    }
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    List<TargetStats> healthy = new ArrayList<>(usable);
    healthy.removeIf(candidate -> candidate.isEjected(nowNanos));
    avoidFailing(healthy, nowNanos);
    List<TargetStats> candidates = healthy.isEmpty() ? usable : preferLocal(healthy, nowNanos);
    TargetStats chosen = betterOfTwo(candidates, nowNanos);
    chosen.onStart();
    return Optional.of(chosen.target());
  }

  @Override
  public void onResult(
      TargetId target, RequestKind kind, AttemptResult result, long latencyNanos, long nowNanos) {
    TargetStats known = stats.get(target);
    if (known == null) {
      return;
    }
    double relativeLatency =
        result == AttemptResult.SUCCESS
            ? typicalLatencies
                .computeIfAbsent(kind, unused -> new MeanLatency())
                .relative(latencyNanos)
            : 0;
    if (known.onEnd(result, relativeLatency, nowNanos)
        && mayEject(known.target().service(), nowNanos)) {
      known.eject(nowNanos);
    }
  }

  @Override
  public void onLoad(TargetId target, GateLoad load, long nowNanos) {
    TargetStats known = stats.get(target);
    if (known != null) {
      known.onLoad(load, nowNanos);
    }
  }

  /** Returns true if the target is ejected at this time. */
  public boolean isEjected(TargetId target, long nowNanos) {
    TargetStats known = stats.get(target);
    return known != null && known.isEjected(nowNanos);
  }

  /** Returns the ids of the targets of a service that this daemon uses. */
  public List<TargetId> subset(ServiceName service) {
    return subsets.getOrDefault(service, List.of()).stream()
        .map(known -> known.target().id())
        .toList();
  }

  private List<Target> chooseSubset(List<Target> all) {
    Comparator<Target> order =
        Comparator.comparing((Target target) -> !target.dataCentre().equals(dataCentre))
            .thenComparing(this::score)
            .thenComparing(target -> target.id().value());
    List<Target> sorted = new ArrayList<>(all);
    sorted.sort(order);
    if (sorted.size() <= subsetSize) {
      return sorted;
    }
    // Half of the subset stays for other data centres, so that a daemon can spill over.
    long local = sorted.stream().filter(t -> t.dataCentre().equals(dataCentre)).count();
    int remote = (int) Math.min(sorted.size() - local, subsetSize / 2);
    int localCount = (int) Math.min(local, subsetSize - remote);
    List<Target> subset = new ArrayList<>(sorted.subList(0, localCount));
    subset.addAll(
        sorted.subList(
            (int) local,
            (int) local + Math.min(subsetSize - localCount, sorted.size() - (int) local)));
    return subset;
  }

  private long score(Target target) {
    return Hashing.murmur3_128()
        .hashString(self.value() + '/' + target.id().value(), StandardCharsets.UTF_8)
        .asLong();
  }

  /**
   * Removes the candidates that fail clearly more often than the best one with free slots. Answers
   * targets that fail part of their requests; what fails everywhere is not the targets' fault.
   */
  private static void avoidFailing(List<TargetStats> candidates, long nowNanos) {
    double least = 1;
    for (TargetStats candidate : candidates) {
      if (!candidate.isSaturated(nowNanos)) {
        least = Math.min(least, candidate.recentFailures(nowNanos));
      }
    }
    double most = least + FAILURE_MARGIN;
    candidates.removeIf(candidate -> candidate.recentFailures(nowNanos) > most);
  }

  /** Returns the local candidates unless all of them are saturated. */
  private List<TargetStats> preferLocal(List<TargetStats> healthy, long nowNanos) {
    List<TargetStats> local = new ArrayList<>(healthy.size());
    boolean free = false;
    for (TargetStats candidate : healthy) {
      if (candidate.target().dataCentre().equals(dataCentre)) {
        local.add(candidate);
        free |= !candidate.isSaturated(nowNanos);
      }
    }
    if (free) {
      local.removeIf(candidate -> candidate.isSaturated(nowNanos));
      return local;
    }
    return healthy;
  }

  private TargetStats betterOfTwo(List<TargetStats> candidates, long nowNanos) {
    int first = random.nextInt(candidates.size());
    if (candidates.size() == 1) {
      return candidates.get(first);
    }
    int second = random.nextInt(candidates.size() - 1);
    if (second >= first) {
      second++;
    }
    TargetStats a = candidates.get(first);
    TargetStats b = candidates.get(second);
    return a.cost(nowNanos) <= b.cost(nowNanos) ? a : b;
  }

  private boolean mayEject(ServiceName service, long nowNanos) {
    List<TargetStats> subset = subsets.getOrDefault(service, List.of());
    long ejected = subset.stream().filter(known -> known.isEjected(nowNanos)).count();
    return (ejected + 1) * 2 <= subset.size();
  }
}
