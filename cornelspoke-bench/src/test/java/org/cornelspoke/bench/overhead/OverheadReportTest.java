package org.cornelspoke.bench.overhead;

import static com.google.common.truth.Truth.assertThat;

import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;

/** Guards against a report that calls a missed target met, or reads the wrong CPU fields. */
class OverheadReportTest {

  @Test
  void judgesTheAddedTime() {
    Map<String, PathResult> paths = new LinkedHashMap<>();
    paths.put(OverheadReport.DIRECT, result(200, 210, 220));
    paths.put("one", result(500, 510, 520));
    paths.put("two", result(500, 5_000, 700));
    OverheadReport report = new OverheadReport(paths);

    assertThat(report.isTargetMet("one")).isTrue();
    assertThat(report.isTargetMet("two")).isFalse();
    assertThat(report.medianAddedP99Millis("two")).isWithin(0.01).of(0.48);
    assertThat(report.isTargetMetByMedian("two")).isFalse();
    assertThat(report.text()).contains("one adds at p99, target 0.35 ms: 0.300 ms over the whole");
    assertThat(report.text()).contains("0.480 ms as the median of 3 rounds (missed)");
  }

  @Test
  void readsUserAndSystemTimeBehindTheName() {
    String stat = "42 (a b) c) S 1 2 3 4 5 6 7 8 9 10 300 45 0 0 20 0 9 0 1 2 3";

    assertThat(ProcessCpu.parse(stat)).isEqualTo(345 * 10_000);
  }

  @Test
  void cpuTimeIsPerCompletedCall() {
    PathResult result = result(100);
    result.addCpu("daemon", 3_000);

    assertThat(result.cpuMicrosPerCall()).containsExactly("daemon", 3.0);
  }

  private static PathResult result(long... micros) {
    PathResult result = new PathResult();
    for (long each : micros) {
      Histogram round = new Histogram(3);
      round.recordValueWithCount(each, 1_000);
      result.addRound(round, 1_000, 1_000);
    }
    return result;
  }
}
