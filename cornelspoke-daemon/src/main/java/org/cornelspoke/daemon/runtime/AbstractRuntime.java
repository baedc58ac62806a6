package org.cornelspoke.daemon.runtime;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/** Owns the control thread of a process and defines the order of startup and shutdown. */
abstract class AbstractRuntime implements DaemonFactory.Daemon {

  private static final System.Logger LOGGER = System.getLogger(AbstractRuntime.class.getName());

  private final MetricRegistry metrics = new MetricRegistry();
  private final Eventloop controlLoop = EventLoops.create("control", metrics);
  private final Thread controlThread;
  private final CountDownLatch stopped = new CountDownLatch(1);

  AbstractRuntime(String name) {
    this.controlThread = new Thread(controlLoop, "control-" + name);
  }

  @Override
  public final void start() throws Exception {
    controlLoop.keepAlive(true);
    controlThread.start();
    try {
      controlLoop.submit(this::startOnControlThread).get();
      startTraffic();
    } catch (ExecutionException e) {
      throw e.getCause() instanceof IOException cause
          ? cause
          : new IOException("daemon failed to start", e.getCause());
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
      controlLoop.submit(this::stopOnControlThread).get();
      controlLoop.keepAlive(false);
      controlLoop.execute(controlLoop::breakEventloop);
      awaitResourcesReleased();
      long durationMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      LOGGER.log(Level.INFO, "event=stopped tookMillis={0}", Long.toString(durationMillis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException e) {
      LOGGER.log(Level.WARNING, "graceful stop failed", e);
    } finally {
      stopped.countDown();
    }
  }

  final Eventloop control() {
    return controlLoop;
  }

  final MetricRegistry metrics() {
    return metrics;
  }

  /** Starts the services on the control thread. */
  abstract void startOnControlThread() throws IOException;

  /** Starts the services on other threads, after those of the control thread. */
  void startTraffic() throws IOException {}

  /** Stops the services on other threads and waits for work in progress. */
  void stopTraffic() throws InterruptedException, ExecutionException {}

  /** Stops the services on the control thread. */
  abstract void stopOnControlThread();

  /** Waits until resources are released after the services on the control thread have stopped. */
  void awaitResourcesReleased() throws InterruptedException {}
}
