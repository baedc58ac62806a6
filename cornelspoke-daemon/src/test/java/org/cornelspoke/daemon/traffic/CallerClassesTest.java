package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;

import org.cornelspoke.model.TrafficClass;
import org.junit.jupiter.api.Test;

/** Guards against requests that need no other service but are refused for the load of one. */
final class CallerClassesTest {

  private final CallerClasses classes = new CallerClasses();

  @Test
  void classWithoutCallsIsToldFromOneWithCalls() {
    for (int i = 0; i < 100; i++) {
      classes.onStarted("a" + i, TrafficClass.INTERACTIVE);
      classes.onStarted("b" + i, TrafficClass.BULK);
      classes.onCall("a" + i);
      classes.onEnded("a" + i);
      classes.onEnded("b" + i);
    }

    assertThat(classes.makesCalls(TrafficClass.INTERACTIVE)).isTrue();
    assertThat(classes.makesCalls(TrafficClass.BULK)).isFalse();
    assertThat(classes.makesCalls(TrafficClass.CRITICAL)).isTrue();
  }

  /** An upstream that is called by others and calls on, and serves root requests that do not. */
  @Test
  void callsOfCallsTellThatRootsMakeNone() {
    for (int i = 0; i < 100; i++) {
      classes.onStarted("call" + i, null);
      classes.onStarted("root" + i, TrafficClass.BULK);
      classes.onCall("call" + i);
      classes.onEnded("call" + i);
      classes.onEnded("root" + i);
    }

    assertThat(classes.makesCalls(TrafficClass.BULK)).isFalse();
  }

  @Test
  void everyClassCountsWhileIdsTellNothing() {
    for (int i = 0; i < 100; i++) {
      classes.onStarted("a" + i, TrafficClass.INTERACTIVE);
      classes.onCall("unknown");
      classes.onEnded("a" + i);
    }

    assertThat(classes.makesCalls(TrafficClass.INTERACTIVE)).isTrue();
  }
}
