package org.cornelspoke.daemon.admin;

import com.codahale.metrics.MetricRegistry;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.util.Assert;

/**
 * HTTP server on the administration address: metrics and health for both roles, and with a backend
 * the administration API.
 *
 * <p>Belongs to the thread of its reactor, the control thread.
 */
public final class AdminServer {

  // A client that opens a connection and sends nothing must not hold it for ever.
  private static final Duration READ_WRITE_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(2);

  private final HttpServer server;

  private AdminServer(Builder builder) {
    RoutingServlet.Builder open = RoutingServlet.builder(builder.reactor);
    new MetricsServlet(builder.metrics, builder.health).addTo(open);
    RoutingServlet openRoutes = open.build();
    AsyncServlet root =
        builder.backend.map(backend -> withApi(builder, backend, openRoutes)).orElse(openRoutes);
    this.server =
        HttpServer.builder(builder.reactor, root)
            .withListenAddress(builder.address.toSocketAddress())
            .withReadWriteTimeout(READ_WRITE_TIMEOUT, SHUTDOWN_TIMEOUT)
            .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
            .withServeTimeoutShutdown(SHUTDOWN_TIMEOUT)
            .withHttpErrorFormatter(failure -> Promise.of(Answers.ofException(failure)))
            .build();
  }

  /**
   * Returns a builder of a server with metrics and health only.
   *
   * @param reactor reactor of the control thread
   * @param address port 0 takes any free port
   */
  public static Builder builder(NioReactor reactor, Endpoint address) {
    return new Builder(reactor, address);
  }

  /**
   * Starts to listen.
   *
   * @throws IOException if the address is in use
   */
  public void start() throws IOException {
    server.listen();
  }

  /** Returns the address in use, with the port that the system chose if port 0 was given. */
  public InetSocketAddress boundAddress() {
    return server.getBoundAddresses().get(0);
  }

  /** Stops listening and completes when the requests in progress have been answered. */
  public Promise<?> stop() {
    return server.close();
  }

  private static AsyncServlet withApi(
      Builder builder, AdminBackend backend, AsyncServlet openRoutes) {
    RoutingServlet.Builder api = RoutingServlet.builder(builder.reactor);
    new ConfigServlet(backend, builder.clock, builder.metrics).addTo(api);
    new GroupServlet(backend).addTo(api);
    Authenticator authenticator = new Authenticator(backend, api.build(), builder.metrics);
    return request ->
        request.getPath().startsWith("/v1/")
            ? authenticator.serve(request)
            : openRoutes.serve(request);
  }

  /** Collects the parts of a server. */
  public static final class Builder {

    private final NioReactor reactor;
    private final Endpoint address;
    private MetricRegistry metrics = new MetricRegistry();
    private Supplier<Health> health = () -> Health.OK;
    private Optional<AdminBackend> backend = Optional.empty();
    private Clock clock = Clock.systemUTC();

    private Builder(NioReactor reactor, Endpoint address) {
      this.reactor = Assert.notNull(reactor, "reactor");
      this.address = Assert.notNull(address, "address");
    }

    /** Sets the registry whose metrics are served and in which the server counts. */
    public Builder withMetrics(MetricRegistry registry) {
      this.metrics = Assert.notNull(registry, "registry");
      return this;
    }

    /** Sets the source of {@code /healthz}; it is called on the control thread. */
    public Builder withHealth(Supplier<Health> source) {
      this.health = Assert.notNull(source, "source");
      return this;
    }

    /** Adds the administration API over a backend. */
    public Builder withBackend(AdminBackend adminBackend) {
      this.backend = Optional.of(adminBackend);
      return this;
    }

    /** Sets the wall clock for the timestamps of the audit trail. */
    public Builder withClock(Clock wallClock) {
      this.clock = Assert.notNull(wallClock, "wallClock");
      return this;
    }

    /** Builds a server that does not listen yet. */
    public AdminServer build() {
      return new AdminServer(this);
    }
  }
}
