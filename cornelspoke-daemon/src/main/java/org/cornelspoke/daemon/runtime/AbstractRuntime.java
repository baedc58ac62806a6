package org.cornelspoke.daemon.runtime;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/** Owns the control thread of a process and the order of start and stop. */
abstract class AbstractRuntime implements DaemonFactory.Daemon {

  private static final System.Logger LOGGER = System.getLogger(AbstractRuntime.class.getName());

  private final MetricRegistry metrics = new MetricRegistry();
  private final Eventloop control = EventLoops.create("control", metrics);
  private final Thread controlThread;
  private final CountDownLatch stopped = new CountDownLatch(1);

  AbstractRuntime(String name) {
    this.controlThread = new Thread(control, "control-" + name);
  }

  @Override
  public final void start() throws Exception {
    control.keepAlive(true);
    controlThread.start();
    try {
      control.submit(this::startOnControlThread).get();
      startTraffic();
    } catch (ExecutionException e) {
      throw e.getCause() instanceof IOException cause
          ? cause
          : new IOException("can't start", e.getCause());
    }
  }

  @Override
  public final void awaitStop() throws InterruptedException {
    stopped.await();
  }

  @Override
  public final void stop() {
    long startNanos = System.nanoTime();
    LOGGER.log(Level.INFO, "event=stopping");
    try {
      stopTraffic();
      control.submit(this::stopOnControlThread).get();
      control.keepAlive(false);
      control.execute(control::breakEventloop);
      afterStop();
      long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      LOGGER.log(Level.INFO, "event=stopped tookMillis={0}", Long.toString(tookMillis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException e) {
      LOGGER.log(Level.WARNING, "stop did not finish", e);
    } finally {
      stopped.countDown();
    }
  }

  final Eventloop control() {
    return control;
  }

  final MetricRegistry metrics() {
    return metrics;
  }

  /** Starts the services of the control thread. */
  abstract void startOnControlThread() throws IOException;

  /** Starts the services of other threads. */
  void startTraffic() throws IOException {}

  /** Stops the services of other threads and waits until they have finished what runs. */
  void stopTraffic() throws InterruptedException, ExecutionException {}

  /** Stops the services of the control thread. */
  abstract void stopOnControlThread();

  /** Waits for what must be released after the control thread has stopped its services. */
  void afterStop() throws InterruptedException {}
}
