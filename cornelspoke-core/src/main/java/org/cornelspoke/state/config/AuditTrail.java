package org.cornelspoke.state.config;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** The most recent audit entries, up to {@link #MAX_ENTRIES}. */
final class AuditTrail {

  static final int MAX_ENTRIES = 10_000;

  private final Deque<AuditEntry> entries = new ArrayDeque<>();
  private long sequence;
  private Optional<AuditEntry> lastAccepted = Optional.empty();

  long nextSequence() {
    return ++sequence;
  }

  void add(AuditEntry entry) {
    entries.add(entry);
    if (entry.outcome().equals(ConfigState.ACCEPTED)) {
      lastAccepted = Optional.of(entry);
    }
    while (entries.size() > MAX_ENTRIES) {
      entries.remove();
    }
  }

  /** Returns the entry of the change that created the current revision, if it is still retained. */
  Optional<AuditEntry> lastAccepted() {
    return lastAccepted.filter(entry -> entry.sequence() >= entries.getFirst().sequence());
  }

  List<AuditEntry> entries() {
    return List.copyOf(entries);
  }

  List<AuditEntry> entriesAfter(long afterSequence, int limit) {
    return entries.stream().filter(e -> e.sequence() > afterSequence).limit(limit).toList();
  }

  long sequence() {
    return sequence;
  }

  void restore(List<AuditEntry> restoredEntries, long lastSequence) {
    entries.clear();
    lastAccepted = Optional.empty();
    restoredEntries.forEach(this::add);
    sequence = lastSequence;
  }
}
