package org.cornelspoke.transport.loop;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EventLoopMonitorTest {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final MetricRegistry metrics = new MetricRegistry();
  private long nowNanos = 1_000 * MILLI;
  private final EventLoopMonitor monitor =
      new EventLoopMonitor("test", metrics, () -> 0, () -> nowNanos);

  @Test
  void inputReadAfterALongIterationMayHaveArrivedAtItsStart() {
    poll(0, 0);
    long iterationStartNanos = nowNanos;
    advance(3_400);
    poll(0, 0);
    assertThat(monitor.earliestArrivalNanos()).isEqualTo(iterationStartNanos);
  }

  @Test
  void inputThatEndsABlockingPollHasJustArrived() {
    poll(0, 0);
    advance(300);
    poll(1_000, 700);
    assertThat(monitor.earliestArrivalNanos()).isEqualTo(nowNanos);
  }

  @Test
  void inputReadAfterThePollOutlastedItsTimeoutMayHaveArrivedAtItsStart() {
    poll(0, 0);
    long pollStartNanos = nowNanos;
    poll(20, 3_400);
    assertThat(monitor.earliestArrivalNanos()).isEqualTo(pollStartNanos);
  }

  @Test
  void longIterationsAreRecorded() {
    poll(0, 0);
    advance(3_400);
    poll(0, 0);
    poll(0, 0);
    assertThat(metrics.timer("eventloop.test.long-iterations").getCount()).isEqualTo(1);
  }

  private void advance(long millis) {
    nowNanos += millis * MILLI;
  }

  private void poll(long timeoutMillis, long durationMillis) {
    monitor.onUpdateSelectorSelectTimeout(timeoutMillis);
    advance(durationMillis);
    monitor.onClockRead();
  }
}
