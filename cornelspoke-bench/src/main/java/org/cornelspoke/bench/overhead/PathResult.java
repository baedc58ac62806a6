package org.cornelspoke.bench.overhead;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What was measured on one path over all rounds. Not safe for use by several threads. */
final class PathResult {

  private static final int SIGNIFICANT_DIGITS = 3;

  private final Histogram latencyMicros = new Histogram(SIGNIFICANT_DIGITS);
  private final List<Double> p99OfRounds = new ArrayList<>();
  private final Map<String, Long> cpuMicros = new TreeMap<>();
  private long offered;
  private long completed;

  void addRound(Histogram round, long offeredCalls, long completedCalls) {
    latencyMicros.add(round);
    p99OfRounds.add(round.getValueAtPercentile(99) / 1000.0);
    offered += offeredCalls;
    completed += completedCalls;
  }

  void addCpu(String process, long micros) {
    cpuMicros.merge(process, micros, Long::sum);
  }

  double millis(double percentile) {
    return latencyMicros.getValueAtPercentile(percentile) / 1000.0;
  }

  double p99OfRound(int round) {
    return p99OfRounds.get(round);
  }

  int rounds() {
    return p99OfRounds.size();
  }

  long completed() {
    return completed;
  }

  long offered() {
    return offered;
  }

  /** Returns the CPU time of each process per completed call, in microseconds. */
  Map<String, Double> cpuMicrosPerCall() {
    Map<String, Double> perCall = new TreeMap<>();
    cpuMicros.forEach((name, micros) -> perCall.put(name, (double) micros / completed));
    return perCall;
  }

  Map<String, Object> asMap() {
    Map<String, Object> map = new LinkedHashMap<>();
    map.put("offered", offered);
    map.put("completed", completed);
    map.put("p50Millis", millis(50));
    map.put("p90Millis", millis(90));
    map.put("p99Millis", millis(99));
    map.put("p999Millis", millis(99.9));
    map.put("cpuMicrosPerCall", cpuMicrosPerCall());
    return map;
  }
}
