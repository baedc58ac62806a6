package org.cornelspoke.daemon.runtime;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.activej.common.exception.FatalErrorHandler;
import io.activej.common.exception.FatalErrorHandlers;
import io.activej.eventloop.Eventloop;
import java.lang.System.Logger.Level;

/** Creates the event loops of a process with uniform handling of unexpected exceptions. */
final class EventLoops {

  private static final System.Logger LOGGER = System.getLogger(EventLoops.class.getName());

  private EventLoops() {}

  /**
   * Creates an event loop that counts and logs an unexpected exception of a task and continues with
   * the next task. A {@link VirtualMachineError}, such as an {@link OutOfMemoryError}, halts the
   * process, because its state is then undefined.
   */
  static Eventloop create(String name, MetricRegistry metrics) {
    Counter faultCounter = metrics.counter("eventloop." + name + ".faults");
    FatalErrorHandler handler =
        FatalErrorHandlers.haltOnVirtualMachineError()
            .andThen(
                (exception, context) -> {
                  faultCounter.inc();
                  LOGGER.log(Level.ERROR, "unexpected exception on event loop " + name, exception);
                });
    return Eventloop.builder().withFatalErrorHandler(handler).build();
  }
}
