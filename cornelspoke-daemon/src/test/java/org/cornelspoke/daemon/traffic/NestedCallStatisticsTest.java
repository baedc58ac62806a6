package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.cornelspoke.model.TrafficClass;
import org.junit.jupiter.api.Test;

/** Guards against requests that make no nested calls but are refused because of downstream load. */
final class NestedCallStatisticsTest {

  private final NestedCallStatistics statistics = new NestedCallStatistics();

  @Test
  void distinguishesClassesWithAndWithoutNestedCalls() {
    for (int i = 0; i < 100; i++) {
      statistics.onStarted("a" + i, TrafficClass.INTERACTIVE, Optional.empty(), Optional.empty());
      statistics.onStarted("b" + i, TrafficClass.BULK, Optional.empty(), Optional.empty());
      statistics.onCall("a" + i);
      statistics.onEnded("a" + i);
      statistics.onEnded("b" + i);
    }

    assertThat(statistics.makesCalls(TrafficClass.INTERACTIVE)).isTrue();
    assertThat(statistics.makesCalls(TrafficClass.BULK)).isFalse();
    assertThat(statistics.makesCalls(TrafficClass.CRITICAL)).isTrue();
  }

  /** Nested calls served by the upstream make further calls; its root requests make none. */
  @Test
  void nestedCallsOfNestedCallsAreNotCountedForRootRequests() {
    for (int i = 0; i < 100; i++) {
      statistics.onStarted("call" + i, null, Optional.empty(), Optional.empty());
      statistics.onStarted("root" + i, TrafficClass.BULK, Optional.empty(), Optional.empty());
      statistics.onCall("call" + i);
      statistics.onEnded("call" + i);
      statistics.onEnded("root" + i);
    }

    assertThat(statistics.makesCalls(TrafficClass.BULK)).isFalse();
  }

  @Test
  void assumesNestedCallsWhileParentIdsAreUnknown() {
    for (int i = 0; i < 100; i++) {
      statistics.onStarted("a" + i, TrafficClass.INTERACTIVE, Optional.empty(), Optional.empty());
      statistics.onCall("unknown");
      statistics.onEnded("a" + i);
    }

    assertThat(statistics.makesCalls(TrafficClass.INTERACTIVE)).isTrue();
  }

  /** Guards against calls at the same time that count twice, so that no work time remains. */
  @Test
  void timeWithNestedCallsIsCountedOnce() {
    statistics.onStarted("a", TrafficClass.INTERACTIVE, Optional.empty(), Optional.empty());
    assertThat(statistics.nestedNanos("a", false, 5)).isEqualTo(0);
    statistics.onCallStarted("a", 10);
    statistics.onCallStarted("a", 20);
    statistics.onCallEnded("a", 50);
    assertThat(statistics.nestedNanos("a", true, 55)).isEqualTo(45);
    statistics.onCallEnded("a", 60);
    statistics.onCallStarted("a", 100);
    statistics.onCallEnded("a", 130);
    assertThat(statistics.nestedNanos("a", true, 200)).isEqualTo(80);
  }

  /** Guards against calls of an unknown duration that count as work of the upstream. */
  @Test
  void callsOfUnknownParentsMakeTheTimeUnknown() {
    assertThat(statistics.nestedNanos(null, true, 5)).isLessThan(0);
    statistics.onStarted("a", TrafficClass.INTERACTIVE, Optional.empty(), Optional.empty());
    assertThat(statistics.nestedNanos("a", true, 5)).isLessThan(0);
    assertThat(statistics.nestedNanos("a", false, 5)).isEqualTo(0);
  }
}
