package org.cornelspoke.bench.soak;

import org.cornelspoke.util.Assert;

/**
 * A configuration change that the soak script asked for.
 *
 * @param answeredMicros wall-clock time of the answer in microseconds since the epoch
 * @param exitCode exit code of {@code cornelspokectl}; 0 means accepted
 * @param kind {@code withdraw}, {@code preset} or {@code weight}
 * @param argument key id, preset, or {@code ACCOUNT=WEIGHT}
 */
record SoakChange(
    long answeredMicros, String requestId, int exitCode, String kind, String argument) {

  private static final int FIELDS = 5;

  /** Parses a line with tabs between the fields. */
  static SoakChange parse(String line) {
    String[] fields = line.split("\t", -1);
    Assert.isTrue(fields.length == FIELDS, "a change must have 5 fields: " + line);
    return new SoakChange(
        Long.parseLong(fields[0]), fields[1], Integer.parseInt(fields[2]), fields[3], fields[4]);
  }

  boolean isAccepted() {
    return exitCode == 0;
  }

  /** Returns what the change is about, so that a later change of the same thing replaces it. */
  String subject() {
    return switch (kind) {
      case "preset" -> "preset";
      case "weight" -> "account " + argument.substring(0, argument.indexOf('='));
      default -> "key " + argument;
    };
  }
}
