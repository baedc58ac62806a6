package org.cornelspoke.transport.loop;

import io.activej.eventloop.Eventloop;
import java.util.concurrent.TimeUnit;

/**
 * Creates event loops; all event loops of the product are created here.
 *
 * <p>The clock of these loops, which schedules delayed tasks, starts at the time of day of its
 * creation and then follows elapsed time. It does not follow steps of the time of day, which would
 * run delayed tasks late or early.
 */
public final class EventLoops {

  private EventLoops() {}

  /** Returns the builder of an event loop that is observed by the given monitor. */
  public static Eventloop.Builder builder(EventLoopMonitor monitor) {
    long originMillis = monitor.wallClockMillis();
    long originNanos = monitor.nanoTime();
    return Eventloop.builder()
        .withTimeProvider(
            () -> {
              monitor.onClockRead();
              return originMillis + TimeUnit.NANOSECONDS.toMillis(monitor.nanoTime() - originNanos);
            })
        .withInspector(monitor);
  }
}
