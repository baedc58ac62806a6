package org.cornelspoke.state.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.cornelspoke.model.KeyId;
import org.cornelspoke.model.Revision;

/** Entities and tombstones by id, indexed by the revision of their last change. */
final class EntityStore {

  /** A daemon that missed more deletions than this gets a full copy instead of a delta. */
  static final int MAX_TOMBSTONES = 10_000;

  private final Map<EntityId, VersionedEntity> entities = new HashMap<>();
  private final Map<EntityKind, Map<EntityId, ConfigEntity>> byKind =
      new EnumMap<>(EntityKind.class);
  private final NavigableMap<Long, Set<EntityId>> byRevision = new TreeMap<>();
  private final Map<String, KeyId> keyIdsByHash = new HashMap<>();
  private final Deque<VersionedEntity> tombstones = new ArrayDeque<>();
  private int tombstoneCount;
  private Revision tombstoneFloor = Revision.NONE;

  Optional<ConfigEntity> get(EntityId id) {
    VersionedEntity entry = entities.get(id);
    return entry == null ? Optional.empty() : entry.value();
  }

  boolean hasKeyHash(String keyHashHex) {
    return keyIdsByHash.containsKey(keyHashHex);
  }

  /** Returns the live entities in order of revision. */
  List<ConfigEntity> live(Predicate<ConfigEntity> filter) {
    List<ConfigEntity> result = new ArrayList<>();
    for (VersionedEntity entry : inOrder(0)) {
      entry.value().filter(filter).ifPresent(result::add);
    }
    return result;
  }

  /** Returns the live entities of a kind in order of revision. */
  List<ConfigEntity> live(EntityKind kind) {
    return List.copyOf(byKind.getOrDefault(kind, Map.of()).values());
  }

  void put(Revision revision, ConfigEntity value) {
    store(new VersionedEntity(value.entityId(), revision, Optional.of(value)));
  }

  void remove(Revision revision, EntityId id) {
    store(new VersionedEntity(id, revision, Optional.empty()));
    dropOldTombstones();
  }

  /** Returns what changed after the revision, or empty if a tombstone may be missing. */
  Optional<ConfigUpdate.Delta> delta(Revision from, Revision to) {
    if (tombstoneFloor.isAfter(from)) {
      return Optional.empty();
    }
    List<ConfigEntity> live = new ArrayList<>();
    List<EntityId> removed = new ArrayList<>();
    for (VersionedEntity entry : inOrder(from.number() + 1)) {
      if (entry.isTombstone()) {
        removed.add(entry.id());
      } else {
        live.add(entry.value().get());
      }
    }
    return Optional.of(new ConfigUpdate.Delta(from, to, live, removed));
  }

  List<VersionedEntity> inOrder(long firstRevision) {
    List<VersionedEntity> result = new ArrayList<>();
    for (Set<EntityId> ids : byRevision.tailMap(firstRevision, true).values()) {
      ids.forEach(id -> result.add(entities.get(id)));
    }
    return result;
  }

  Revision tombstoneFloor() {
    return tombstoneFloor;
  }

  void restore(List<VersionedEntity> entries, Revision floor) {
    entities.clear();
    byKind.clear();
    byRevision.clear();
    keyIdsByHash.clear();
    tombstones.clear();
    tombstoneCount = 0;
    tombstoneFloor = floor;
    entries.forEach(this::store);
  }

  private void store(VersionedEntity entry) {
    forget(entry.id());
    entities.put(entry.id(), entry);
    byRevision
        .computeIfAbsent(entry.revision().number(), r -> new LinkedHashSet<>())
        .add(entry.id());
    if (entry.isTombstone()) {
      tombstones.add(entry);
      tombstoneCount++;
      return;
    }
    byKind
        .computeIfAbsent(entry.id().kind(), k -> new LinkedHashMap<>())
        .put(entry.id(), entry.value().get());
    if (entry.value().get() instanceof ClientKey key) {
      keyIdsByHash.put(key.keyHashHex(), key.id());
    }
  }

  private void forget(EntityId id) {
    VersionedEntity former = entities.remove(id);
    if (former == null) {
      return;
    }
    long revision = former.revision().number();
    Set<EntityId> ids = byRevision.get(revision);
    ids.remove(id);
    if (ids.isEmpty()) {
      byRevision.remove(revision);
    }
    if (former.isTombstone()) {
      tombstoneCount--;
      return;
    }
    byKind.get(id.kind()).remove(id);
    if (former.value().get() instanceof ClientKey key) {
      keyIdsByHash.remove(key.keyHashHex());
    }
  }

  private void dropOldTombstones() {
    while (tombstoneCount > MAX_TOMBSTONES) {
      VersionedEntity oldest = tombstones.remove();
      // The queue still holds tombstones of entities that were created again.
      if (oldest.equals(entities.get(oldest.id()))) {
        forget(oldest.id());
        tombstoneFloor = oldest.revision();
      }
    }
    if (tombstones.size() > 2 * MAX_TOMBSTONES) {
      tombstones.removeIf(entry -> !entry.equals(entities.get(entry.id())));
    }
  }
}
