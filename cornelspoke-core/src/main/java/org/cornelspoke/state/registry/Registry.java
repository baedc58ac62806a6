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
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.util.Assert;

/**
 * Registered targets with versions, so that deltas of a service can be sent. Each change that has
 * an effect takes the next version.
 *
 * <p>Deterministic. Not safe for use by several threads; the control thread owns it.
 */
public final class Registry {

  /** A daemon that missed more removals than this gets the full list of a service. */
  static final int MAX_TOMBSTONES = 10_000;

  private final Map<TargetId, RegistryImage.Entry> targets = new HashMap<>();
  private final Map<ServiceName, Map<TargetId, RegistryImage.Entry>> services = new HashMap<>();
  private final Map<DaemonId, Map<TargetId, Target>> daemons = new HashMap<>();
  private final Map<ServiceName, Long> latestVersions = new HashMap<>();
  private final Deque<RegistryImage.Entry> tombstones = new ArrayDeque<>();
  private int tombstoneCount;
  private long tombstoneFloor;
  private long version;

  /** Applies a batch and returns the version after it. */
  public long apply(List<RegistryChange> batch) {
    batch.forEach(this::apply);
    return version;
  }

  /** Returns the version of the latest change. */
  public long version() {
    return version;
  }

  /** Returns true if a copy of the service's targets at the version may be out of date. */
  public boolean hasChanged(ServiceName service, long from) {
    return from < tombstoneFloor || latestVersions.getOrDefault(service, 0L) > from;
  }

  /** Returns the target, or empty if it is not registered. */
  public Optional<Target> target(TargetId id) {
    RegistryImage.Entry entry = targets.get(id);
    return entry == null ? Optional.empty() : entry.target();
  }

  /** Returns every target with the version of its last change, in no particular order. */
  public Collection<RegistryImage.Entry> targets() {
    return List.copyOf(targets.values());
  }

  /** Returns the targets that a daemon has registered. */
  public Collection<Target> targetsOf(DaemonId daemon) {
    return List.copyOf(daemons.getOrDefault(daemon, Map.of()).values());
  }

  /** Returns what changed in a service after a version, or its full list if that is not known. */
  public RegistryUpdate updateFrom(ServiceName service, long from) {
    boolean full = from <= 0 || from < tombstoneFloor || from > version;
    List<Target> live = new ArrayList<>();
    List<TargetId> removed = new ArrayList<>();
    for (RegistryImage.Entry entry : services.getOrDefault(service, Map.of()).values()) {
      if (!full && entry.version() <= from) {
        continue;
      }
      if (entry.target().isPresent()) {
        live.add(entry.target().get());
      } else if (!full) {
        removed.add(entry.id());
      }
    }
    return new RegistryUpdate(service, full ? 0 : from, version, full, live, removed);
  }

  /** Returns the whole state. */
  public RegistryImage image() {
    List<RegistryImage.Entry> entries = new ArrayList<>();
    services.values().forEach(service -> entries.addAll(service.values()));
    entries.sort(Comparator.comparingLong(RegistryImage.Entry::version));
    return new RegistryImage(version, tombstoneFloor, entries);
  }

  /** Replaces the whole state. */
  public void restore(RegistryImage image) {
    targets.clear();
    services.clear();
    daemons.clear();
    latestVersions.clear();
    tombstones.clear();
    tombstoneCount = 0;
    tombstoneFloor = image.tombstoneFloor();
    version = image.version();
    image.entries().forEach(this::store);
  }

  private void apply(RegistryChange change) {
    if (change instanceof RegistryChange.Register register) {
      register(register.target());
    } else if (change instanceof RegistryChange.Drain drain) {
      owned(drain.target(), drain.daemon())
          .ifPresent(target -> register(withState(target, TargetState.DRAINING)));
    } else if (change instanceof RegistryChange.Remove remove) {
      owned(remove.target(), remove.daemon()).ifPresent(this::remove);
    } else if (change instanceof RegistryChange.Expire expire) {
      RegistryImage.Entry entry = targets.get(expire.target());
      if (entry != null && entry.version() == expire.version()) {
        remove(entry.target().orElseThrow());
      }
    }
  }

  private void register(Target target) {
    Assert.notNull(target, "target");
    Optional<Target> former = target(target.id());
    if (former.isPresent()) {
      // Two daemons that announce one id by mistake would otherwise replace each other for ever.
      if (former.get().equals(target) || !former.get().daemon().equals(target.daemon())) {
        return;
      }
      if (!former.get().service().equals(target.service())) {
        remove(former.get());
      }
    }
    store(new RegistryImage.Entry(target.service(), target.id(), ++version, Optional.of(target)));
  }

  private void remove(Target target) {
    store(new RegistryImage.Entry(target.service(), target.id(), ++version, Optional.empty()));
    dropOldTombstones();
  }

  private Optional<Target> owned(TargetId id, DaemonId daemon) {
    return target(id).filter(target -> target.daemon().equals(daemon));
  }

  private void store(RegistryImage.Entry entry) {
    target(entry.id())
        .filter(former -> former.service().equals(entry.service()))
        .ifPresent(this::forgetTarget);
    Map<TargetId, RegistryImage.Entry> service =
        services.computeIfAbsent(entry.service(), s -> new LinkedHashMap<>());
    RegistryImage.Entry former = service.remove(entry.id());
    if (former != null && former.target().isEmpty()) {
      tombstoneCount--;
    }
    service.put(entry.id(), entry);
    latestVersions.merge(entry.service(), entry.version(), Math::max);
    if (entry.target().isPresent()) {
      targets.put(entry.id(), entry);
      daemons
          .computeIfAbsent(entry.target().get().daemon(), d -> new LinkedHashMap<>())
          .put(entry.id(), entry.target().get());
    } else {
      tombstones.add(entry);
      tombstoneCount++;
    }
  }

  private void forgetTarget(Target former) {
    targets.remove(former.id());
    Map<TargetId, Target> ofDaemon = daemons.get(former.daemon());
    ofDaemon.remove(former.id());
    if (ofDaemon.isEmpty()) {
      daemons.remove(former.daemon());
    }
  }

  private void dropOldTombstones() {
    while (tombstoneCount > MAX_TOMBSTONES) {
      RegistryImage.Entry oldest = tombstones.remove();
      if (isCurrent(oldest)) {
        services.get(oldest.service()).remove(oldest.id());
        tombstoneCount--;
        tombstoneFloor = oldest.version();
      }
    }
    if (tombstones.size() > 2 * MAX_TOMBSTONES) {
      tombstones.removeIf(entry -> !isCurrent(entry));
    }
  }

  private boolean isCurrent(RegistryImage.Entry entry) {
    return entry.equals(services.getOrDefault(entry.service(), Map.of()).get(entry.id()));
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
