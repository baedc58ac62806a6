package org.cornelspoke.bench.load;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/** Results of a run by class and by account. Belongs to one thread. */
final class LoadStats {

  private final GroupStats total = new GroupStats();
  private final Map<String, GroupStats> classes = new TreeMap<>();
  private final Map<String, GroupStats> accounts = new TreeMap<>();

  void addOffered(Arrival arrival) {
    for (GroupStats group : groups(arrival)) {
      group.offered++;
    }
  }

  void addAttempt(Arrival arrival, AttemptRecord attempt) {
    for (GroupStats group : groups(arrival)) {
      group.addAttempt(attempt);
    }
  }

  void addCompleted(Arrival arrival, OptionalLong latencyMicros) {
    for (GroupStats group : groups(arrival)) {
      group.addCompleted(latencyMicros);
    }
  }

  void addGaveUp(Arrival arrival) {
    for (GroupStats group : groups(arrival)) {
      group.gaveUp++;
    }
  }

  GroupStats total() {
    return total;
  }

  /** Returns the wrongful refusals of all accounts. */
  long wrongfulRefusals() {
    return accounts.values().stream().mapToLong(GroupStats::wrongfulRefusals).sum();
  }

  /** Returns every figure in the form that the JSON file has. */
  Map<String, Object> asMap(double seconds) {
    Map<String, Object> map = new LinkedHashMap<>();
    map.put("seconds", seconds);
    map.put("total", total.asMap(seconds));
    map.put("classes", asMap(classes, seconds));
    map.put("accounts", asMap(accounts, seconds));
    map.put("wrongfulRefusals", wrongfulRefusals());
    Map<String, Long> wrongful = new TreeMap<>();
    accounts.forEach((name, group) -> wrongful.put(name, group.wrongfulRefusals()));
    map.put("wrongfulRefusalsByAccount", wrongful);
    return map;
  }

  /** Returns the figures as a table. */
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
    classes.forEach((name, group) -> row(text, "class " + name, group, "-", seconds));
    accounts.forEach(
        (name, group) -> row(text, "account " + name, group, group.wrongfulRefusals(), seconds));
    row(text, "total", total, wrongfulRefusals(), seconds);
    return text.toString();
  }

  private static void row(
      StringBuilder text, String name, GroupStats group, Object wrongful, double seconds) {
    Map<String, Long> causes = new TreeMap<>(group.refusals);
    causes.putAll(group.failures);
    text.append(
        String.format(
            Locale.ROOT,
            "%-28s %9d %9d %9.1f %8.2f %8.2f %8s %8d  %s%n",
            name,
            group.offered,
            group.completed,
            group.completed / seconds,
            group.percentile(50),
            group.percentile(99),
            wrongful,
            group.wrongAnswers,
            causes.isEmpty() ? "-" : causes));
  }

  private static Map<String, Object> asMap(Map<String, GroupStats> groups, double seconds) {
    Map<String, Object> map = new TreeMap<>();
    groups.forEach((name, group) -> map.put(name, group.asMap(seconds)));
    return map;
  }

  private Iterable<GroupStats> groups(Arrival arrival) {
    return List.of(
        total,
        classes.computeIfAbsent(arrival.route().trafficClass().name(), key -> new GroupStats()),
        accounts.computeIfAbsent(arrival.account().id(), key -> new GroupStats()));
  }
}
