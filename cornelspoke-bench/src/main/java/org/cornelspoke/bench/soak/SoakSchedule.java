package org.cornelspoke.bench.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/**
 * Draws faults and changes. At most one control daemon and four processes in all are disturbed at a
 * time, so that a quorum remains and a run shows more than a full stop.
 */
final class SoakSchedule {

  private static final long FIRST_MILLIS = 3_000;
  private static final long LAST_BEFORE_END_MILLIS = 8_000;
  private static final double MEAN_STEP_MILLIS = 1_200;
  private static final int MIN_FAULT_MILLIS = 500;
  private static final int MAX_FAULT_MILLIS = 6_000;
  // A process that was started counts as disturbed until it has had time to become ready.
  private static final long START_MILLIS = 4_000;
  private static final int MAX_DISTURBED = 4;
  private static final double FAULT_PART = 0.6;
  private static final List<String> PRESETS = List.of("ordinary", "peak", "maintenance");

  private final RandomGenerator random;
  private final Map<String, List<String>> processes;
  private final List<String> accounts;
  private final List<String> keys;
  private final Map<String, Long> disturbedUntil = new HashMap<>();
  private final List<SoakEvent> events = new ArrayList<>();

  /**
   * Prepares a schedule.
   *
   * @param processes names of the processes of each role: control, traffic, upstream
   * @param keys ids of the keys that may be withdrawn, each at most once
   */
  SoakSchedule(
      long seed, Map<String, List<String>> processes, List<String> accounts, List<String> keys) {
    this.random = new Well19937c(seed);
    this.processes = Map.copyOf(processes);
    this.accounts = List.copyOf(accounts);
    this.keys = new ArrayList<>(keys);
  }

  /** Returns the events of a run in the order of time. */
  List<SoakEvent> draw(long durationMillis) {
    double now = FIRST_MILLIS;
    while (now < durationMillis - LAST_BEFORE_END_MILLIS) {
      if (random.nextDouble() < FAULT_PART) {
        addFault((long) now);
      } else {
        addChange((long) now);
      }
      now -= MEAN_STEP_MILLIS * Math.log(1 - random.nextDouble());
    }
    events.sort(Comparator.comparingLong(SoakEvent::atMillis));
    return List.copyOf(events);
  }

  private void addFault(long now) {
    disturbedUntil.values().removeIf(until -> until <= now);
    double mark = random.nextDouble();
    String role = mark < 0.25 ? "control" : mark < 0.7 ? "traffic" : "upstream";
    String name = pick(processes.get(role));
    boolean controlDisturbed =
        processes.get("control").stream().anyMatch(disturbedUntil::containsKey);
    long length = (long) MIN_FAULT_MILLIS + random.nextInt(MAX_FAULT_MILLIS - MIN_FAULT_MILLIS);
    double kind = random.nextDouble();
    if (disturbedUntil.containsKey(name)
        || disturbedUntil.size() >= MAX_DISTURBED
        || (role.equals("control") && controlDisturbed)) {
      return;
    }
    if (kind < 0.4) {
      events.add(new SoakEvent(now, SoakEvent.Action.PAUSE, name));
      events.add(new SoakEvent(now + length, SoakEvent.Action.RESUME, name));
    } else {
      SoakEvent.Action stop = kind < 0.75 ? SoakEvent.Action.KILL : SoakEvent.Action.TERM;
      events.add(new SoakEvent(now, stop, name));
      events.add(new SoakEvent(now + length, SoakEvent.Action.START, name));
    }
    disturbedUntil.put(name, now + length + START_MILLIS);
  }

  private void addChange(long now) {
    double mark = random.nextDouble();
    if (mark < 0.35) {
      events.add(new SoakEvent(now, SoakEvent.Action.PRESET, pick(PRESETS)));
    } else if (mark < 0.7 || keys.isEmpty()) {
      String value = pick(accounts) + "=" + (1 + random.nextInt(9));
      events.add(new SoakEvent(now, SoakEvent.Action.WEIGHT, value));
    } else {
      String key = keys.remove(random.nextInt(keys.size()));
      events.add(new SoakEvent(now, SoakEvent.Action.WITHDRAW, key));
    }
  }

  private String pick(List<String> values) {
    return values.get(random.nextInt(values.size()));
  }
}
