package org.cornelspoke.daemon.runtime;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.activej.common.exception.FatalErrorHandler;
import io.activej.common.exception.FatalErrorHandlers;
import io.activej.eventloop.Eventloop;
import java.lang.System.Logger.Level;
import org.cornelspoke.transport.loop.EventLoopMonitor;
import org.cornelspoke.transport.loop.EventLoops;

/**
 * An event loop of a process with its monitor. It counts and logs an unexpected exception of a task
 * and continues with the next task. A {@link VirtualMachineError}, such as an {@link
 * OutOfMemoryError}, halts the process, because its state is then undefined.
 */
final class RuntimeLoop {

  private static final System.Logger LOGGER = System.getLogger(RuntimeLoop.class.getName());

  private final Eventloop reactor;
  private final EventLoopMonitor monitor;

  RuntimeLoop(String name, MetricRegistry metrics) {
    Counter faultCounter = metrics.counter("eventloop." + name + ".faults");
    FatalErrorHandler handler =
        describeVirtualMachineError(name)
            .andThen(FatalErrorHandlers.haltOnVirtualMachineError())
            .andThen(
                (exception, context) -> {
                  faultCounter.inc();
                  LOGGER.log(Level.ERROR, "unexpected exception on event loop " + name, exception);
                });
    this.monitor = new EventLoopMonitor(name, metrics);
    this.reactor = EventLoops.builder(monitor).withFatalErrorHandler(handler).build();
  }

  /** Writes directly to standard error: the log may need memory that is not available. */
  private static FatalErrorHandler describeVirtualMachineError(String loopName) {
    return (exception, context) -> {
      if (exception instanceof VirtualMachineError) {
        System.err.println("event=process-ends loop=" + loopName + " cause=" + exception);
      }
    };
  }

  Eventloop reactor() {
    return reactor;
  }

  EventLoopMonitor monitor() {
    return monitor;
  }

  /** Starts to measure the delay of scheduled tasks. Must be called on the thread of the loop. */
  void startMonitor() {
    monitor.start(reactor);
  }
}
