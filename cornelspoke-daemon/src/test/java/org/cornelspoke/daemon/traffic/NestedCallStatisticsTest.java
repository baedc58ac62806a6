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
}
