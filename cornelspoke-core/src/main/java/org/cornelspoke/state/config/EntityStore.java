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

/** Entities and tombstones by id, indexed by kind and by the revision of their last change. */
final class EntityStore {

  /** A daemon that has missed more deletions than this receives a full copy instead of a delta. */
  static final int MAX_TOMBSTONES = 10_000;

  private final Map<EntityId, VersionedEntity> entriesById = new HashMap<>();
  private final Map<EntityKind, Map<EntityId, ConfigEntity>> byKind =
      new EnumMap<>(EntityKind.class);
  private final NavigableMap<Long, Set<EntityId>> byRevision = new TreeMap<>();
  private final Map<String, KeyId> keyIdsByHash = new HashMap<>();
  private final Deque<VersionedEntity> tombstones = new ArrayDeque<>();
  private int tombstoneCount;
  private Revision tombstoneFloor = Revision.NONE;

  Optional<ConfigEntity> get(EntityId id) {
    VersionedEntity entry = entriesById.get(id);
    return entry == null ? Optional.empty() : entry.value();
  }

  boolean hasKeyHash(String keyHashHex) {
    return keyIdsByHash.containsKey(keyHashHex);
  }

  /** Returns the live entities in order of revision. */
  List<ConfigEntity> live(Predicate<ConfigEntity> filter) {
    List<ConfigEntity> result = new ArrayList<>();
    for (VersionedEntity entry : entriesFrom(0)) {
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
    evictOldTombstones();
  }

  /** Returns the changes after a revision, or empty if a tombstone may have been evicted. */
  Optional<ConfigUpdate.Delta> delta(Revision from, Revision to) {
    if (tombstoneFloor.isAfter(from)) {
      return Optional.empty();
    }
    List<ConfigEntity> live = new ArrayList<>();
    List<EntityId> removed = new ArrayList<>();
    for (VersionedEntity entry : entriesFrom(from.number() + 1)) {
      if (entry.isTombstone()) {
        removed.add(entry.id());
      } else {
        live.add(entry.value().get());
      }
    }
    return Optional.of(new ConfigUpdate.Delta(from, to, live, removed));
  }

  /** Returns the entities and tombstones changed at or after a revision, in order of revision. */
  List<VersionedEntity> entriesFrom(long firstRevision) {
    List<VersionedEntity> result = new ArrayList<>();
    for (Set<EntityId> ids : byRevision.tailMap(firstRevision, true).values()) {
      ids.forEach(id -> result.add(entriesById.get(id)));
    }
    return result;
  }

  Revision tombstoneFloor() {
    return tombstoneFloor;
  }

  void restore(List<VersionedEntity> restoredEntries, Revision restoredTombstoneFloor) {
    entriesById.clear();
    byKind.clear();
    byRevision.clear();
    keyIdsByHash.clear();
    tombstones.clear();
    tombstoneCount = 0;
    tombstoneFloor = restoredTombstoneFloor;
    restoredEntries.forEach(this::store);
  }

  private void store(VersionedEntity entry) {
    removeEntry(entry.id());
    entriesById.put(entry.id(), entry);
    byRevision
        .computeIfAbsent(entry.revision().number(), number -> new LinkedHashSet<>())
        .add(entry.id());
    if (entry.isTombstone()) {
      tombstones.add(entry);
      tombstoneCount++;
      return;
    }
    byKind
        .computeIfAbsent(entry.id().kind(), kind -> new LinkedHashMap<>())
        .put(entry.id(), entry.value().get());
    if (entry.value().get() instanceof ClientKey key) {
      keyIdsByHash.put(key.keyHashHex(), key.id());
    }
  }

  private void removeEntry(EntityId id) {
    VersionedEntity previous = entriesById.remove(id);
    if (previous == null) {
      return;
    }
    long revision = previous.revision().number();
    Set<EntityId> ids = byRevision.get(revision);
    ids.remove(id);
    if (ids.isEmpty()) {
      byRevision.remove(revision);
    }
    if (previous.isTombstone()) {
      tombstoneCount--;
      return;
    }
    byKind.get(id.kind()).remove(id);
    if (previous.value().get() instanceof ClientKey key) {
      keyIdsByHash.remove(key.keyHashHex());
    }
  }

  private void evictOldTombstones() {
    while (tombstoneCount > MAX_TOMBSTONES) {
      VersionedEntity oldest = tombstones.remove();
      // The queue may still hold tombstones of entities that have been created again.
      if (oldest.equals(entriesById.get(oldest.id()))) {
        removeEntry(oldest.id());
        tombstoneFloor = oldest.revision();
      }
    }
    if (tombstones.size() > 2 * MAX_TOMBSTONES) {
      tombstones.removeIf(entry -> !entry.equals(entriesById.get(entry.id())));
    }
  }
}
