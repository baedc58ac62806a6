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
 * HTTP server on the administration address. Serves metrics and health for both roles and, if a
 * backend is set, the administration API.
 *
 * <p>Confined to the thread of its reactor, the control thread.
 */
public final class AdminServer {

  // Closes connections of clients that stop sending or reading.
  private static final Duration READ_WRITE_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(2);

  private final HttpServer server;

  private AdminServer(Builder builder) {
    RoutingServlet.Builder publicRoutesBuilder = RoutingServlet.builder(builder.reactor);
    new MetricsServlet(builder.metrics, builder.health).addTo(publicRoutesBuilder);
    RoutingServlet publicRoutes = publicRoutesBuilder.build();
    AsyncServlet root =
        builder
            .backend
            .map(backend -> createRootServlet(builder, backend, publicRoutes))
            .orElse(publicRoutes);
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
   * Returns a builder for a server, by default with metrics and health only.
   *
   * @param reactor reactor of the control thread
   * @param address address to listen on; port 0 selects any free port
   */
  public static Builder builder(NioReactor reactor, Endpoint address) {
    return new Builder(reactor, address);
  }

  /**
   * Starts listening.
   *
   * @throws IOException if the server cannot bind to the address, for example because it is in use
   */
  public void start() throws IOException {
    server.listen();
  }

  /** Returns the bound address, with the port that the system selected if port 0 was given. */
  public InetSocketAddress boundAddress() {
    return server.getBoundAddresses().get(0);
  }

  /** Stops listening; the promise completes once all requests in progress have a response. */
  public Promise<?> stop() {
    return server.close();
  }

  private static AsyncServlet createRootServlet(
      Builder builder, AdminBackend backend, AsyncServlet publicRoutes) {
    RoutingServlet.Builder api = RoutingServlet.builder(builder.reactor);
    ConfigServlet config = new ConfigServlet(backend, builder.clock, builder.metrics);
    config.addTo(api);
    new EvacuationServlet(backend, config).addTo(api);
    new GroupServlet(backend).addTo(api);
    new QuarantineServlet(backend).addTo(api);
    Authenticator authenticator = new Authenticator(backend, api.build(), builder.metrics);
    return request ->
        request.getPath().startsWith("/v1/")
            ? authenticator.serve(request)
            : publicRoutes.serve(request);
  }

  /** Builder for {@link AdminServer}. */
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

    /** Sets the registry whose metrics are served; the server registers its own metrics in it. */
    public Builder withMetrics(MetricRegistry registry) {
      this.metrics = Assert.notNull(registry, "registry");
      return this;
    }

    /** Sets the supplier of the {@code /healthz} state; it is called on the control thread. */
    public Builder withHealth(Supplier<Health> source) {
      this.health = Assert.notNull(source, "source");
      return this;
    }

    /** Enables the administration API, backed by the given backend. */
    public Builder withBackend(AdminBackend adminBackend) {
      this.backend = Optional.of(adminBackend);
      return this;
    }

    /** Sets the clock for the timestamps in the audit trail. */
    public Builder withClock(Clock wallClock) {
      this.clock = Assert.notNull(wallClock, "wallClock");
      return this;
    }

    /** Builds the server; it listens only after {@link AdminServer#start}. */
    public AdminServer build() {
      return new AdminServer(this);
    }
  }
}
