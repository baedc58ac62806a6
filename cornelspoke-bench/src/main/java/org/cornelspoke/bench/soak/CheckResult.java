package org.cornelspoke.bench.soak;

import java.util.List;

/**
 * Result of one check.
 *
 * @param checked how many things were examined; a check of nothing proves nothing
 */
record CheckResult(String name, long checked, List<String> violations) {

  private static final int MAX_PRINTED = 5;

  /** Checks that the parts are present. */
  CheckResult {
    violations = List.copyOf(violations);
  }

  boolean isViolated() {
    return !violations.isEmpty();
  }

  String text() {
    StringBuilder text = new StringBuilder();
    String state = isViolated() ? "VIOLATED" : checked == 0 ? "not exercised" : "ok";
    text.append(String.format("%-34s %-14s %d checked", name, state, checked));
    if (isViolated()) {
      text.append(", ").append(violations.size()).append(" violations");
    }
    violations.stream()
        .limit(MAX_PRINTED)
        .forEach(violation -> text.append("\n    ").append(violation));
    return text.append('\n').toString();
  }
}
