package org.cornelspoke.util;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class TimerWheelTest {

  private static final long SEED = 11;

  /** Guards against timers that are lost, run early, run twice or run after cancellation. */
  @Test
  void everyTimerRunsOnceAtItsTime() {
    Random random = new Random(SEED);
    TimerWheel wheel = new TimerWheel(10, 8, 0);
    long[] nowNanos = {0};
    int[] expectedRuns = {0};
    List<Integer> ran = new ArrayList<>();
    for (int i = 0; i < 2_000; i++) {
      int number = i;
      long dueAt = nowNanos[0] + random.nextInt(400) - 20;
      TimerWheel.Timer timer =
          wheel.schedule(
              dueAt,
              () -> {
                assertThat(nowNanos[0]).isAtLeast(dueAt);
                assertThat(nowNanos[0] - dueAt).isLessThan(200);
                ran.add(number);
              });
      if (random.nextInt(3) == 0) {
        timer.cancel();
        timer.cancel();
      } else {
        expectedRuns[0]++;
      }
      nowNanos[0] += random.nextInt(30) == 0 ? 150 : random.nextInt(12);
      wheel.advance(nowNanos[0]);
    }
    for (int i = 0; i < 100; i++) {
      nowNanos[0] += 10;
      wheel.advance(nowNanos[0]);
    }
    assertThat(wheel.size()).isEqualTo(0);
    assertThat(ran).hasSize(expectedRuns[0]);
    assertThat(ran).containsNoDuplicates();
  }

  /** Guards against a task that modifies the bucket that is being iterated. */
  @Test
  void tasksMayAddAndCancelTimers() {
    TimerWheel wheel = new TimerWheel(10, 4, 0);
    List<String> ran = new ArrayList<>();
    TimerWheel.Timer cancelled = wheel.schedule(10, () -> ran.add("cancelled"));
    wheel.schedule(
        10,
        () -> {
          cancelled.cancel();
          wheel.schedule(0, () -> ran.add("later"));
        });
    wheel.advance(10);
    assertThat(ran).isEmpty();
    wheel.advance(20);
    assertThat(ran).containsExactly("later");
  }

  @Test
  void exceptionOfATaskDoesNotDelayOtherTasks() {
    TimerWheel wheel = new TimerWheel(10, 8, 0);
    List<Integer> ran = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      int number = i;
      wheel.schedule(
          20,
          () -> {
            ran.add(number);
            throw new IllegalStateException("task " + number);
          });
    }
    IllegalStateException thrown =
        assertThrows(IllegalStateException.class, () -> wheel.advance(20));
    assertThat(ran).containsExactly(0, 1, 2);
    assertThat(thrown.getSuppressed()).hasLength(2);
  }
}
