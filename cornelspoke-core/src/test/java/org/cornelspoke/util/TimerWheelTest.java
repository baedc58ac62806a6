package org.cornelspoke.util;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class TimerWheelTest {

  private static final long SEED = 11;

  /** Guards against timers that are lost, run early, run twice or run after a cancel. */
  @Test
  void everyTimerRunsOnceAtItsTime() {
    Random random = new Random(SEED);
    TimerWheel wheel = new TimerWheel(10, 8, 0);
    long[] now = {0};
    int[] expected = {0};
    List<Integer> ran = new ArrayList<>();
    for (int i = 0; i < 2_000; i++) {
      int number = i;
      long time = now[0] + random.nextInt(400) - 20;
      TimerWheel.Timer timer =
          wheel.schedule(
              time,
              () -> {
                assertThat(now[0]).isAtLeast(time);
                assertThat(now[0] - time).isLessThan(200);
                ran.add(number);
              });
      if (random.nextInt(3) == 0) {
        timer.cancel();
        timer.cancel();
      } else {
        expected[0]++;
      }
      now[0] += random.nextInt(30) == 0 ? 150 : random.nextInt(12);
      wheel.advance(now[0]);
    }
    for (int i = 0; i < 100; i++) {
      now[0] += 10;
      wheel.advance(now[0]);
    }
    assertThat(wheel.size()).isEqualTo(0);
    assertThat(ran).hasSize(expected[0]);
    assertThat(ran).containsNoDuplicates();
  }

  /** Guards against a task that changes the bucket that is being walked. */
  @Test
  void tasksMayAddAndCancelTimers() {
    TimerWheel wheel = new TimerWheel(10, 4, 0);
    List<String> ran = new ArrayList<>();
    TimerWheel.Timer victim = wheel.schedule(10, () -> ran.add("victim"));
    wheel.schedule(
        10,
        () -> {
          victim.cancel();
          wheel.schedule(0, () -> ran.add("later"));
        });
    wheel.advance(10);
    assertThat(ran).isEmpty();
    wheel.advance(20);
    assertThat(ran).containsExactly("later");
  }
}
