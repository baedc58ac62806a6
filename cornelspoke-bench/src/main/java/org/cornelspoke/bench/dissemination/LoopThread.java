package org.cornelspoke.bench.dissemination;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.lang.management.ManagementFactory;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import org.cornelspoke.transport.loop.EventLoopMonitor;
import org.cornelspoke.transport.loop.EventLoops;

/** An event loop on its own thread, whose CPU time can be read. */
final class LoopThread {

  final Eventloop loop =
      EventLoops.builder(new EventLoopMonitor("fleet", new MetricRegistry())).build();
  private final Thread thread;

  LoopThread(String name) {
    loop.keepAlive(true);
    this.thread = new Thread(loop, name);
    thread.start();
  }

  long cpuNanos() {
    return ManagementFactory.getThreadMXBean().getThreadCpuTime(thread.getId());
  }

  /** Runs a task on the loop's thread and waits for its result. */
  <T> T call(Callable<T> task) throws Exception {
    CompletableFuture<T> future = new CompletableFuture<>();
    loop.execute(
        () -> {
          try {
            future.complete(task.call());
          } catch (Exception e) {
            future.completeExceptionally(e);
          }
        });
    return future.get();
  }

  void stop() throws InterruptedException {
    loop.keepAlive(false);
    loop.execute(() -> {});
    thread.join();
  }
}
