package org.cornelspoke.daemon.runtime;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** Owns the control thread of a process and defines the order of startup and shutdown. */
abstract class AbstractRuntime implements DaemonFactory.Daemon {

  private static final System.Logger LOGGER = System.getLogger(AbstractRuntime.class.getName());

  /** Time for a graceful stop after a failure, which the failure may prevent. */
  private static final long FAILED_STOP_TIMEOUT_MILLIS = 10_000;

  private final MetricRegistry metrics = new MetricRegistry();
  private final RuntimeLoop controlRuntimeLoop = new RuntimeLoop("control", metrics);
  private final Eventloop controlLoop = controlRuntimeLoop.reactor();
  private final Thread controlThread;
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final AtomicBoolean stopRequested = new AtomicBoolean();
  private final AtomicBoolean failed = new AtomicBoolean();
  private final long failedStopTimeoutMillis;

  AbstractRuntime(String name) {
    this(name, FAILED_STOP_TIMEOUT_MILLIS);
  }

  AbstractRuntime(String name, long failedStopTimeoutMillis) {
    this.failedStopTimeoutMillis = failedStopTimeoutMillis;
    this.controlThread = new Thread(controlLoop, "control-" + name);
  }

  @Override
  public final void start() throws Exception {
    controlLoop.keepAlive(true);
    controlThread.start();
    try {
      controlLoop.submit(controlRuntimeLoop::startMonitor).get();
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
  public final boolean hasFailed() {
    return failed.get();
  }

  /**
   * Stops in the background, so that the process ends and its supervisor starts it again. May be
   * called on any thread.
   */
  final void fail(Throwable cause) {
    if (failed.compareAndSet(false, true)) {
      LOGGER.log(Level.ERROR, "the process ends in order to be started again", cause);
      Thread supervision = new Thread(this::stopAfterFailure, "stop-after-failure");
      supervision.setDaemon(true);
      supervision.start();
    }
  }

  private void stopAfterFailure() {
    Thread gracefulStop = new Thread(this::stop, "graceful-stop");
    gracefulStop.setDaemon(true);
    gracefulStop.start();
    try {
      gracefulStop.join(failedStopTimeoutMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    stopped.countDown();
  }

  @Override
  public final void stop() {
    if (!stopRequested.compareAndSet(false, true)) {
      awaitOtherStop();
      return;
    }
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

  /** The control thread has ended or will end, so a second stop could not use it. */
  private void awaitOtherStop() {
    try {
      stopped.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
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
