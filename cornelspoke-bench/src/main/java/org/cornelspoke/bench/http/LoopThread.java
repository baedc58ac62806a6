package org.cornelspoke.bench.http;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.cornelspoke.transport.loop.EventLoopMonitor;
import org.cornelspoke.transport.loop.EventLoops;

/** An event loop on its own thread. Thread-safe. */
public final class LoopThread {

  // With the default of 1 s, an idle loop may run background tasks late.
  private static final Duration IDLE_INTERVAL = Duration.ofMillis(100);

  private final Eventloop loop;
  private final Thread thread;

  /** Starts the thread. */
  public LoopThread(String name) {
    loop =
        EventLoops.builder(new EventLoopMonitor(name, new MetricRegistry()))
            .withThreadName(name)
            .withIdleInterval(IDLE_INTERVAL)
            .withFatalErrorHandler(
                (error, context) ->
                    System.getLogger(LoopThread.class.getName())
                        .log(
                            System.Logger.Level.ERROR,
                            "uncaught exception in the event loop",
                            error))
            .build();
    loop.keepAlive(true);
    thread = new Thread(loop, name);
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns the event loop. */
  public Eventloop loop() {
    return loop;
  }

  /**
   * Runs a task on the loop's thread and waits for its result.
   *
   * @throws IllegalStateException if the task throws
   */
  public <T> T call(Callable<T> task) {
    try {
      CompletableFuture<T> result = new CompletableFuture<>();
      loop.execute(() -> complete(result, task));
      return result.get();
    } catch (ExecutionException e) {
      throw new IllegalStateException(e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  private static <T> void complete(CompletableFuture<T> result, Callable<T> task) {
    try {
      result.complete(task.call());
    } catch (Exception e) {
      result.completeExceptionally(e);
    }
  }

  /** Stops the event loop and its thread after the tasks that are already due. */
  public void stop() {
    loop.execute(loop::breakEventloop);
  }
}
