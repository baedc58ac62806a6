package org.cornelspoke.bench.load;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Request counts and latencies of one class, one account or a whole run. Not thread-safe. */
final class GroupStats {

  private static final long MAX_LATENCY_MICROS = 120_000_000;
  private static final int SIGNIFICANT_DIGITS = 3;

  final Histogram latencyMicros = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
  final Map<String, Long> refusals = new TreeMap<>();
  final Map<String, Long> failures = new TreeMap<>();
  long offered;
  long completed;
  long gaveUp;
  long attempts;
  long withinRate;
  long keyedAttempts;
  long rateRefusals;
  long wrongResponses;

  void addAttempt(AttemptRecord attempt) {
    attempts++;
    if (attempt.withinRate()) {
      withinRate++;
    }
    if (attempt.keyId() != null) {
      keyedAttempts++;
    }
    if ("rate".equals(attempt.reason())) {
      rateRefusals++;
    }
    if (!attempt.intact() || !attempt.belongsToRequest()) {
      wrongResponses++;
    }
    if (attempt.verdict() != null) {
      refusals.merge(attempt.reason() + " " + attempt.verdict(), 1L, Long::sum);
    } else if (attempt.failure() != null) {
      failures.merge(attempt.failure(), 1L, Long::sum);
    } else if (!attempt.isSuccess()) {
      failures.merge("status " + attempt.status(), 1L, Long::sum);
    }
  }

  void addCompleted(OptionalLong latency) {
    completed++;
    latency.ifPresent(
        value -> latencyMicros.recordValue(Math.max(0, Math.min(value, MAX_LATENCY_MICROS))));
  }

  /**
   * Returns how many fewer attempts passed the rate check than the account's rate and burst allow.
   * Only the number matters: an account over its rate is refused some requests in any case, and the
   * daemons need not refuse the same ones as a single bucket. Valid only for the group of one
   * account.
   */
  long wrongfulRefusals() {
    return Math.max(0, withinRate - (keyedAttempts - rateRefusals));
  }

  Map<String, Object> asMap(double seconds) {
    Map<String, Object> map = new LinkedHashMap<>();
    map.put("offered", offered);
    map.put("completed", completed);
    map.put("gaveUp", gaveUp);
    map.put("goodputPerSecond", completed / seconds);
    map.put("attempts", attempts);
    map.put("withinRate", withinRate);
    map.put("keyedAttempts", keyedAttempts);
    map.put("rateRefusals", rateRefusals);
    map.put("wrongAnswers", wrongResponses);
    map.put("refusals", refusals);
    map.put("failures", failures);
    map.put("p50Millis", percentileMillis(50));
    map.put("p90Millis", percentileMillis(90));
    map.put("p99Millis", percentileMillis(99));
    map.put("p999Millis", percentileMillis(99.9));
    map.put("maxMillis", latencyMicros.getMaxValue() / 1000.0);
    return map;
  }

  double percentileMillis(double percentile) {
    return latencyMicros.getValueAtPercentile(percentile) / 1000.0;
  }
}
