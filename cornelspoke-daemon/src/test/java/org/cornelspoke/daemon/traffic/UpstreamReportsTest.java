package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against late reports that bring back an upstream process which has ended. */
final class UpstreamReportsTest {

  private final UpstreamReports reports = new UpstreamReports();

  @Test
  void ignoresReportThatArrivesAfterANewerOne() {
    assertThat(reports.accept("i-1", 100, 2, 0)).isTrue();
    assertThat(reports.accept("i-1", 100, 1, 1)).isFalse();
    assertThat(reports.accept("i-1", 100, 3, 2)).isTrue();
  }

  @Test
  void newLifeUnderTheSameNameStartsItsNumbersAnew() {
    reports.accept("i-1", 100, 50, 0);

    assertThat(reports.accept("i-1", 200, 1, 1)).isTrue();
    assertThat(reports.accept("i-1", 100, 51, 2)).isFalse();
  }

  @Test
  void lateReportOfFormerProcessDoesNotReplaceItsSuccessor() {
    reports.accept("i-1", 100, 1, 0);
    reports.accept("i-2", 200, 1, 1);

    assertThat(reports.accept("i-1", 100, 9, TimeUnit.SECONDS.toNanos(60))).isFalse();
  }

  @Test
  void processThatStartedUnderAnEarlierTimeOfDayIsBelievedAfterSilence() {
    reports.accept("i-1", 5_000, 1, 0);

    assertThat(reports.accept("i-2", 3_000, 1, TimeUnit.SECONDS.toNanos(1))).isFalse();
    assertThat(reports.accept("i-2", 3_000, 2, TimeUnit.SECONDS.toNanos(5))).isTrue();
  }

  @Test
  void processThatHasLeftStaysAway() {
    reports.accept("i-1", 100, 1, 0);

    assertThat(reports.leave("i-2")).isFalse();
    assertThat(reports.leave("i-1")).isTrue();
    assertThat(reports.accept("i-1", 100, 2, 1)).isFalse();
  }
}
