package org.cornelspoke.transport.loop;

import io.activej.eventloop.Eventloop;

/** Creates event loops; all event loops of the product are created here. */
public final class EventLoops {

  private EventLoops() {}

  /** Returns the builder of an event loop that is observed by the given monitor. */
  public static Eventloop.Builder builder(EventLoopMonitor monitor) {
    return Eventloop.builder()
        .withTimeProvider(
            () -> {
              monitor.onClockRead();
              return monitor.wallClockMillis();
            })
        .withInspector(monitor);
  }
}
