package org.cornelspoke.daemon.admin;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import org.cornelspoke.model.Endpoint;

/** A real server with a fake backend on a free port, with a separate event loop thread. */
public final class AdminServerFixture implements AutoCloseable {

  private final Eventloop eventloop = Eventloop.create();
  private final Thread thread = new Thread(eventloop, "admin-test");
  private final AdminServer server;
  private final FakeAdminBackend backend;
  private final MetricRegistry metrics = new MetricRegistry();
  private final String endpoint;

  /** Starts a server with a new backend. */
  public AdminServerFixture() throws Exception {
    this(new FakeAdminBackend());
  }

  /**
   * Starts a server with the given backend. Fixtures may share a backend if they are not used at
   * the same time.
   */
  public AdminServerFixture(FakeAdminBackend backend) throws Exception {
    this.backend = backend;
    this.server =
        AdminServer.builder(eventloop, new Endpoint("127.0.0.1", 0))
            .withMetrics(metrics)
            .withBackend(backend)
            .build();
    eventloop.keepAlive(true);
    thread.start();
    this.endpoint =
        call(
            () -> {
              server.start();
              return "127.0.0.1:" + server.boundAddress().getPort();
            });
  }

  /** Returns the address of the server as {@code ip:port}. */
  public String endpoint() {
    return endpoint;
  }

  /** Returns the metrics of the server. */
  public MetricRegistry metrics() {
    return metrics;
  }

  /** Runs a task with the backend on the event loop thread and returns the result. */
  public <T> T onBackend(BackendTask<T> task) throws Exception {
    return call(() -> task.run(backend));
  }

  @Override
  public void close() throws Exception {
    call(
        () -> {
          server.stop();
          eventloop.keepAlive(false);
          return null;
        });
    thread.join();
  }

  private <T> T call(Callable<T> task) throws ExecutionException, InterruptedException {
    FutureTask<T> future = new FutureTask<>(task);
    eventloop.execute(future);
    return future.get();
  }

  /** A task that reads or modifies the backend. */
  public interface BackendTask<T> {

    /** Runs on the event loop thread. */
    T run(FakeAdminBackend backend) throws Exception;
  }
}
