package org.cornelspoke.state.registry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.util.Assert;

/**
 * Versioned registry of targets, from which deltas of a service can be computed. Each change that
 * has an effect increments the version.
 *
 * <p>Deterministic. Not thread-safe; confined to the control thread.
 */
public final class Registry {

  /**
   * A daemon that has missed more removals than this receives the full target list of a service.
   */
  static final int MAX_TOMBSTONES = 10_000;

  private final Map<TargetId, RegistrySnapshot.Entry> entriesByTarget = new HashMap<>();
  private final Map<ServiceName, Map<TargetId, RegistrySnapshot.Entry>> entriesByService =
      new HashMap<>();
  private final Map<DaemonId, Map<TargetId, Target>> targetsByDaemon = new HashMap<>();
  private final DepartureLog departures = new DepartureLog();
  private final Map<ServiceName, Long> latestVersionByService = new HashMap<>();
  private final Deque<RegistrySnapshot.Entry> tombstones = new ArrayDeque<>();
  private int tombstoneCount;
  private long tombstoneFloor;
  private long version;

  /** Applies a batch of changes and returns the resulting version. */
  public long apply(List<RegistryChange> batch) {
    batch.forEach(this::apply);
    return version;
  }

  /** Returns the version of the latest change. */
  public long version() {
    return version;
  }

  /** Returns true if the targets of the service may have changed after the given version. */
  public boolean hasChanged(ServiceName service, long fromVersion) {
    return fromVersion < tombstoneFloor
        || latestVersionByService.getOrDefault(service, 0L) > fromVersion;
  }

  /** Returns the target, or empty if it is not registered. */
  public Optional<Target> target(TargetId id) {
    RegistrySnapshot.Entry entry = entriesByTarget.get(id);
    return entry == null ? Optional.empty() : entry.target();
  }

  /**
   * Returns all registered targets with the version of their last change, in no specified order.
   */
  public Collection<RegistrySnapshot.Entry> targets() {
    return List.copyOf(entriesByTarget.values());
  }

  /** Returns the targets registered by a daemon. */
  public Collection<Target> targetsOf(DaemonId daemon) {
    return List.copyOf(targetsByDaemon.getOrDefault(daemon, Map.of()).values());
  }

  /** Returns the daemons with registered targets. */
  public Set<DaemonId> daemons() {
    return Set.copyOf(targetsByDaemon.keySet());
  }

  /** Returns the processes beside a daemon that have said that they leave, the earliest first. */
  public List<String> departedProcesses(DaemonId daemon) {
    return departures.processesOf(daemon);
  }

  /**
   * Returns the changes of a service's targets after a version, or the full target list if the
   * changes cannot be determined.
   */
  public RegistryUpdate updateFrom(ServiceName service, long fromVersion) {
    boolean full = fromVersion <= 0 || fromVersion < tombstoneFloor || fromVersion > version;
    List<Target> live = new ArrayList<>();
    List<TargetId> removed = new ArrayList<>();
    for (RegistrySnapshot.Entry entry : entriesByService.getOrDefault(service, Map.of()).values()) {
      if (!full && entry.version() <= fromVersion) {
        continue;
      }
      if (entry.target().isPresent()) {
        live.add(entry.target().get());
      } else if (!full) {
        removed.add(entry.id());
      }
    }
    return new RegistryUpdate(service, full ? 0 : fromVersion, version, full, live, removed);
  }

  /** Returns the complete state. */
  public RegistrySnapshot snapshot() {
    List<RegistrySnapshot.Entry> entries = new ArrayList<>();
    entriesByService.values().forEach(byTarget -> entries.addAll(byTarget.values()));
    entries.sort(Comparator.comparingLong(RegistrySnapshot.Entry::version));
    return new RegistrySnapshot(version, tombstoneFloor, entries, departures.all());
  }

  /** Replaces the complete state. */
  public void restore(RegistrySnapshot snapshot) {
    entriesByTarget.clear();
    entriesByService.clear();
    targetsByDaemon.clear();
    latestVersionByService.clear();
    tombstones.clear();
    tombstoneCount = 0;
    tombstoneFloor = snapshot.tombstoneFloor();
    version = snapshot.version();
    snapshot.entries().forEach(this::store);
    departures.restore(snapshot.departures());
  }

  private void apply(RegistryChange change) {
    if (change instanceof RegistryChange.Register register) {
      register(register.target());
    } else if (change instanceof RegistryChange.Drain drain) {
      findOwned(drain.target(), drain.daemon())
          .ifPresent(target -> register(withState(target, TargetState.DRAINING)));
    } else if (change instanceof RegistryChange.Remove remove) {
      findOwned(remove.target(), remove.daemon()).ifPresent(this::remove);
    } else if (change instanceof RegistryChange.Depart depart) {
      if (departures.add(depart.departure())) {
        version++;
      }
    } else if (change instanceof RegistryChange.Expire expire) {
      RegistrySnapshot.Entry entry = entriesByTarget.get(expire.target());
      if (entry != null && entry.version() == expire.version()) {
        remove(entry.target().orElseThrow());
      }
    }
  }

  private void register(Target target) {
    Assert.notNull(target, "target");
    Optional<Target> previous = target(target.id());
    if (previous.isPresent()) {
      // Otherwise two misconfigured daemons with the same target id would replace each other's
      // target
      // indefinitely.
      if (previous.get().equals(target) || !previous.get().daemon().equals(target.daemon())) {
        return;
      }
      if (!previous.get().service().equals(target.service())) {
        remove(previous.get());
      }
    }
    store(
        new RegistrySnapshot.Entry(target.service(), target.id(), ++version, Optional.of(target)));
  }

  private void remove(Target target) {
    store(new RegistrySnapshot.Entry(target.service(), target.id(), ++version, Optional.empty()));
    evictOldTombstones();
  }

  private Optional<Target> findOwned(TargetId id, DaemonId daemon) {
    return target(id).filter(target -> target.daemon().equals(daemon));
  }

  private void store(RegistrySnapshot.Entry entry) {
    target(entry.id())
        .filter(previous -> previous.service().equals(entry.service()))
        .ifPresent(this::unindexTarget);
    Map<TargetId, RegistrySnapshot.Entry> serviceEntries =
        entriesByService.computeIfAbsent(entry.service(), service -> new LinkedHashMap<>());
    RegistrySnapshot.Entry previous = serviceEntries.remove(entry.id());
    if (previous != null && previous.target().isEmpty()) {
      tombstoneCount--;
    }
    serviceEntries.put(entry.id(), entry);
    latestVersionByService.merge(entry.service(), entry.version(), Math::max);
    if (entry.target().isPresent()) {
      entriesByTarget.put(entry.id(), entry);
      targetsByDaemon
          .computeIfAbsent(entry.target().get().daemon(), daemon -> new LinkedHashMap<>())
          .put(entry.id(), entry.target().get());
    } else {
      tombstones.add(entry);
      tombstoneCount++;
    }
  }

  private void unindexTarget(Target previous) {
    entriesByTarget.remove(previous.id());
    Map<TargetId, Target> daemonTargets = targetsByDaemon.get(previous.daemon());
    daemonTargets.remove(previous.id());
    if (daemonTargets.isEmpty()) {
      targetsByDaemon.remove(previous.daemon());
    }
  }

  private void evictOldTombstones() {
    while (tombstoneCount > MAX_TOMBSTONES) {
      RegistrySnapshot.Entry oldest = tombstones.remove();
      if (isCurrent(oldest)) {
        entriesByService.get(oldest.service()).remove(oldest.id());
        tombstoneCount--;
        tombstoneFloor = oldest.version();
      }
    }
    if (tombstones.size() > 2 * MAX_TOMBSTONES) {
      tombstones.removeIf(entry -> !isCurrent(entry));
    }
  }

  private boolean isCurrent(RegistrySnapshot.Entry entry) {
    return entry.equals(entriesByService.getOrDefault(entry.service(), Map.of()).get(entry.id()));
  }

  private static Target withState(Target target, TargetState state) {
    return new Target(
        target.id(),
        target.service(),
        target.daemon(),
        target.dataCentre(),
        target.linkEndpoint(),
        target.slots(),
        state);
  }
}
