package org.cornelspoke.daemon.runtime;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A set of names that keeps each name for some time after it has left. Not thread-safe. Times are
 * monotonic nanoseconds of this process.
 */
final class RecentNames {

  private final long retentionNanos;
  private final Map<String, Long> formerEndNanos = new HashMap<>();
  private Set<String> current = Set.of();

  RecentNames(long retentionNanos) {
    this.retentionNanos = retentionNanos;
  }

  /** Replaces the current names; returns false if they are the same as before. */
  boolean setCurrent(Set<String> names, long nowNanos) {
    if (names.equals(current)) {
      return false;
    }
    Set<String> left = new HashSet<>(current);
    left.removeAll(names);
    retain(left, nowNanos);
    current = Set.copyOf(names);
    return true;
  }

  /** Adds names that have left just now. */
  void retain(Collection<String> names, long nowNanos) {
    names.forEach(name -> formerEndNanos.put(name, nowNanos + retentionNanos));
  }

  Set<String> current() {
    return current;
  }

  /** Returns the current names and those that left within the retention time. */
  Set<String> recent(long nowNanos) {
    formerEndNanos.values().removeIf(endNanos -> nowNanos - endNanos >= 0);
    Set<String> names = new HashSet<>(current);
    names.addAll(formerEndNanos.keySet());
    return names;
  }
}
