package org.cornelspoke.daemon.runtime;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.activej.common.exception.FatalErrorHandler;
import io.activej.common.exception.FatalErrorHandlers;
import io.activej.eventloop.Eventloop;
import java.lang.System.Logger.Level;

/** Creates the event loops of a process with one treatment of unexpected exceptions. */
final class EventLoops {

  private static final System.Logger LOGGER = System.getLogger(EventLoops.class.getName());

  private EventLoops() {}

  /**
   * Returns an event loop that counts and logs an unexpected exception of a task and goes on with
   * the next task. A virtual machine error such as lack of memory ends the process, because its
   * state is then unknown.
   */
  static Eventloop create(String name, MetricRegistry metrics) {
    Counter faults = metrics.counter("eventloop." + name + ".faults");
    FatalErrorHandler handler =
        FatalErrorHandlers.haltOnVirtualMachineError()
            .andThen(
                (fault, context) -> {
                  faults.inc();
                  LOGGER.log(Level.ERROR, "unexpected exception on event loop " + name, fault);
                });
    return Eventloop.builder().withFatalErrorHandler(handler).build();
  }
}
