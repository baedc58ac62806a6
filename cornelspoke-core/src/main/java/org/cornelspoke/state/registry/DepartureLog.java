package org.cornelspoke.state.registry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.model.DaemonId;

/**
 * The processes that have departed in the last minutes, the earliest first.
 *
 * <p>Deterministic. Not thread-safe.
 */
final class DepartureLog {

  /** Far longer than a report of a process is delayed. */
  private static final long RETENTION_MILLIS = TimeUnit.MINUTES.toMillis(10);

  /** Bounds the memory if the time of day of a relay is wrong. */
  private static final int MAX_DEPARTURES = 50_000;

  private final Deque<Departure> departures = new ArrayDeque<>();
  private final Map<DaemonId, List<String>> processesByDaemon = new HashMap<>();

  /** Adds a departure and removes outdated ones; returns false if it is known. */
  boolean add(Departure departure) {
    if (processesOf(departure.daemon()).contains(departure.process())) {
      return false;
    }
    long oldestMillis = departure.timestampMillis() - RETENTION_MILLIS;
    while (!departures.isEmpty()
        && (departures.peek().timestampMillis() < oldestMillis
            || departures.size() >= MAX_DEPARTURES)) {
      removeEarliest();
    }
    store(departure);
    return true;
  }

  List<String> processesOf(DaemonId daemon) {
    return List.copyOf(processesByDaemon.getOrDefault(daemon, List.of()));
  }

  private void store(Departure departure) {
    departures.add(departure);
    processesByDaemon
        .computeIfAbsent(departure.daemon(), daemon -> new ArrayList<>())
        .add(departure.process());
  }

  private void removeEarliest() {
    Departure earliest = departures.remove();
    List<String> processes = processesByDaemon.get(earliest.daemon());
    processes.remove(earliest.process());
    if (processes.isEmpty()) {
      processesByDaemon.remove(earliest.daemon());
    }
  }

  List<Departure> all() {
    return List.copyOf(departures);
  }

  void restore(List<Departure> all) {
    departures.clear();
    processesByDaemon.clear();
    all.forEach(this::store);
  }
}
