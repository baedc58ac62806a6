package org.cornelspoke.bench.load;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/** Statistics of a run, in total, by class and by account. Not thread-safe. */
final class LoadStats {

  private final GroupStats total = new GroupStats();
  private final Map<String, GroupStats> statsByClass = new TreeMap<>();
  private final Map<String, GroupStats> statsByAccount = new TreeMap<>();

  void addOffered(Arrival arrival) {
    for (GroupStats group : groupsOf(arrival)) {
      group.offered++;
    }
  }

  void addAttempt(Arrival arrival, AttemptRecord attempt) {
    for (GroupStats group : groupsOf(arrival)) {
      group.addAttempt(attempt);
    }
  }

  void addCompleted(Arrival arrival, OptionalLong latencyMicros) {
    for (GroupStats group : groupsOf(arrival)) {
      group.addCompleted(latencyMicros);
    }
  }

  void addGaveUp(Arrival arrival) {
    for (GroupStats group : groupsOf(arrival)) {
      group.gaveUp++;
    }
  }

  GroupStats total() {
    return total;
  }

  /** Returns the sum of the wrongful refusals of the accounts. */
  long wrongfulRefusals() {
    return statsByAccount.values().stream().mapToLong(GroupStats::wrongfulRefusals).sum();
  }

  /** Returns all statistics in the structure of the JSON file. */
  Map<String, Object> asMap(double seconds) {
    Map<String, Object> map = new LinkedHashMap<>();
    map.put("seconds", seconds);
    map.put("total", total.asMap(seconds));
    map.put("classes", asMap(statsByClass, seconds));
    map.put("accounts", asMap(statsByAccount, seconds));
    map.put("wrongfulRefusals", wrongfulRefusals());
    Map<String, Long> wrongful = new TreeMap<>();
    statsByAccount.forEach((name, group) -> wrongful.put(name, group.wrongfulRefusals()));
    map.put("wrongfulRefusalsByAccount", wrongful);
    return map;
  }

  /** Returns the statistics as a table. */
  String table(double seconds) {
    StringBuilder text = new StringBuilder();
    text.append(
        String.format(
            Locale.ROOT,
            "%-28s %9s %9s %9s %8s %8s %8s %8s  %s%n",
            "group",
            "offered",
            "completed",
            "goodput/s",
            "p50 ms",
            "p99 ms",
            "wrongful",
            "mixed-up",
            "refusals and failures"));
    statsByClass.forEach((name, group) -> appendRow(text, "class " + name, group, "-", seconds));
    statsByAccount.forEach(
        (name, group) ->
            appendRow(text, "account " + name, group, group.wrongfulRefusals(), seconds));
    appendRow(text, "total", total, wrongfulRefusals(), seconds);
    return text.toString();
  }

  private static void appendRow(
      StringBuilder text, String name, GroupStats group, Object wrongful, double seconds) {
    Map<String, Long> countsByCause = new TreeMap<>(group.refusals);
    countsByCause.putAll(group.failures);
    text.append(
        String.format(
            Locale.ROOT,
            "%-28s %9d %9d %9.1f %8.2f %8.2f %8s %8d  %s%n",
            name,
            group.offered,
            group.completed,
            group.completed / seconds,
            group.percentileMillis(50),
            group.percentileMillis(99),
            wrongful,
            group.wrongResponses,
            countsByCause.isEmpty() ? "-" : countsByCause));
  }

  private static Map<String, Object> asMap(Map<String, GroupStats> groups, double seconds) {
    Map<String, Object> map = new TreeMap<>();
    groups.forEach((name, group) -> map.put(name, group.asMap(seconds)));
    return map;
  }

  private Iterable<GroupStats> groupsOf(Arrival arrival) {
    return List.of(
        total,
        statsByClass.computeIfAbsent(
            arrival.route().trafficClass().name(), key -> new GroupStats()),
        statsByAccount.computeIfAbsent(arrival.account().id(), key -> new GroupStats()));
  }
}
