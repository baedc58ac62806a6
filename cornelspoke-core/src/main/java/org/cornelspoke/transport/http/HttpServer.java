package org.cornelspoke.transport.http;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.ServerSocketSettings;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.transport.loop.InputBacklog;
import org.cornelspoke.util.Assert;

/**
 * HTTP/1.1 server with strict syntax checks. A malformed request is answered with 400, 413, 431 or
 * 501, its connection is closed, and the handler is not called.
 *
 * <p>Confined to the thread of its reactor.
 */
public final class HttpServer {

  static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(75);
  static final long HEAD_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);
  static final long BODY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);
  static final long LINGER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Length of the accept queue; callers reconnect in bursts after a failure. */
  private static final int ACCEPT_BACKLOG = 1_024;

  /** Part of the connections that are closed at a time to make room for new ones. */
  private static final int CLOSED_FOR_ROOM_DIVISOR = 64;

  /** A connection that has been idle for less than this may have a request in transit. */
  private static final long MIN_IDLE_FOR_ROOM_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private static final System.Logger LOGGER = System.getLogger(HttpServer.class.getName());

  private static final SocketSettings SOCKET_SETTINGS =
      SocketSettings.builder().withTcpNoDelay(true).build();

  private final NioReactor reactor;
  private final InetSocketAddress address;
  private final HttpHandler handler;
  private final int maxBodyBytes;
  private final InputBacklog backlog;
  private final Set<HttpServerConnection> connections = new LinkedHashSet<>();
  private final Counter connectionCounter;
  private final Meter requests;
  private final Meter malformed;
  private final Meter faults;
  private final Counter closedForRoom;
  private final Counter refusedConnections;
  private ConnectionLimits limits = ConnectionLimits.UNLIMITED;
  private HeldMemory memory = HeldMemory.unlimited();
  private volatile InetSocketAddress boundAddress;
  private ServerSocketChannel listener;
  private int requestsInFlight;
  private boolean closing;

  /**
   * Creates a server that is not yet listening.
   *
   * @param metricPrefix prefix of the metric names, for example {@code edge}
   */
  public HttpServer(
      NioReactor reactor,
      InetSocketAddress address,
      int maxBodyBytes,
      HttpHandler handler,
      MetricRegistry metrics,
      String metricPrefix) {
    this(reactor, address, maxBodyBytes, handler, metrics, metricPrefix, InputBacklog.immediate());
  }

  /**
   * Creates a server that is not yet listening.
   *
   * @param metricPrefix prefix of the metric names, for example {@code edge}
   * @param backlog defers requests while the event loop is behind
   */
  public HttpServer(
      NioReactor reactor,
      InetSocketAddress address,
      int maxBodyBytes,
      HttpHandler handler,
      MetricRegistry metrics,
      String metricPrefix,
      InputBacklog backlog) {
    this.reactor = Assert.notNull(reactor, "reactor");
    this.address = Assert.notNull(address, "address");
    Assert.isTrue(maxBodyBytes > 0, "maxBodyBytes must be positive");
    this.handler = Assert.notNull(handler, "handler");
    this.maxBodyBytes = maxBodyBytes;
    this.backlog = Assert.notNull(backlog, "backlog");
    this.connectionCounter = metrics.counter(metricPrefix + ".connections");
    this.requests = metrics.meter(metricPrefix + ".requests");
    this.malformed = metrics.meter(metricPrefix + ".malformed");
    this.faults = metrics.meter(metricPrefix + ".faults");
    this.closedForRoom = metrics.counter(metricPrefix + ".connections-closed-for-room");
    this.refusedConnections = metrics.counter(metricPrefix + ".connections-refused");
  }

  /** Limits the open connections; must be called before the server starts. */
  public HttpServer withConnectionLimits(ConnectionLimits newLimits) {
    this.limits = Assert.notNull(newLimits, "newLimits");
    return this;
  }

  /** Limits the memory held for callers; must be called before the server starts. */
  public HttpServer withHeldMemory(HeldMemory newMemory) {
    this.memory = Assert.notNull(newMemory, "newMemory");
    return this;
  }

  /**
   * Starts listening.
   *
   * @throws IOException if the address is in use
   */
  public void start() throws IOException {
    listener = reactor.listen(address, ServerSocketSettings.create(ACCEPT_BACKLOG), this::accept);
    boundAddress = (InetSocketAddress) listener.getLocalAddress();
  }

  /**
   * Returns the local address, with the port that the system chose if port 0 was given. May be
   * called from any thread once the server is listening.
   */
  public InetSocketAddress boundAddress() {
    return boundAddress;
  }

  /**
   * Adds {@code Connection: close} to all further responses, so that callers reconnect elsewhere.
   */
  public void startClosing() {
    closing = true;
  }

  /**
   * Stops listening shortly afterwards. Open connections stay open. Connections in the accept queue
   * are accepted first, because closing the listener resets them together with their requests.
   */
  public void stopListening() {
    if (listener != null && listener.isRegistered()) {
      listener.keyFor(reactor.ensureSelector()).cancel();
      reactor.delay(1, this::closeListener);
    }
  }

  /** Returns true until the listener is closed. */
  public boolean isListening() {
    return listener != null;
  }

  /** Closes connections without a request that have been idle for at least the given time. */
  public void closeIdle(long nowNanos, long minIdleNanos) {
    for (HttpServerConnection connection : new ArrayList<>(connections)) {
      if (connection.isIdle() && nowNanos - connection.stateStartNanos() >= minIdleNanos) {
        connection.close();
      }
    }
  }

  /**
   * Sends a response to every request that has been received in part, and closes its connection.
   * The handler is not called for these requests.
   */
  public void refuseIncomplete(HttpResponse response) {
    for (HttpServerConnection connection : new ArrayList<>(connections)) {
      connection.refuseIncomplete(response);
    }
  }

  /** Returns true if the last response has been sent on every open connection. */
  public boolean allConnectionsLingering() {
    return requestsInFlight == 0
        && connections.stream().allMatch(HttpServerConnection::isLingering);
  }

  /** Closes the listener and every connection, including those with a request in flight. */
  public void closeAll() {
    if (listener != null) {
      reactor.closeChannel(listener, listener.keyFor(reactor.ensureSelector()));
      listener = null;
    }
    new ArrayList<>(connections).forEach(HttpServerConnection::close);
  }

  /** Closes connections whose idle, head, body or linger timeout has expired. */
  public void closeTimedOutConnections(long nowNanos) {
    for (HttpServerConnection connection : new ArrayList<>(connections)) {
      connection.closeIfTimedOut(nowNanos);
    }
  }

  /** Returns the number of requests without a response. */
  public int requestsInFlight() {
    return requestsInFlight;
  }

  /** Returns the number of open connections. */
  public int connectionCount() {
    return connections.size();
  }

  int maxBodyBytes() {
    return maxBodyBytes;
  }

  HeldMemory memory() {
    return memory;
  }

  InputBacklog backlog() {
    return backlog;
  }

  boolean isClosing() {
    return closing;
  }

  void serve(HttpExchange exchange) {
    requests.mark();
    requestsInFlight++;
    backlog.submit(exchange.arrivalNanos(), () -> handle(exchange));
  }

  private void handle(HttpExchange exchange) {
    if (exchange.isAbandoned()) {
      exchange.respond(HttpResponse.ofStatus(RefusalReason.CANCELLED.httpStatus()));
      return;
    }
    try {
      handler.onRequest(exchange);
    } catch (RuntimeException e) {
      faults.mark();
      LOGGER.log(System.Logger.Level.ERROR, "exception in the HTTP request handler", e);
      exchange.fail();
    }
  }

  void onResponded() {
    requestsInFlight--;
  }

  void onConnectionRefused() {
    refusedConnections.inc();
  }

  void onMalformed(HttpSyntaxException e) {
    malformed.mark();
  }

  void onClosed(HttpServerConnection connection) {
    if (connections.remove(connection)) {
      connectionCounter.dec();
    }
  }

  /**
   * Closes the listener once its key is deregistered. The system closes a registered channel only
   * after the selector has deregistered it; until then it would complete connections that are never
   * accepted.
   */
  private void closeListener() {
    if (listener == null) {
      return;
    }
    if (listener.isRegistered()) {
      reactor.delay(1, this::closeListener);
      return;
    }
    try {
      SocketChannel queued = listener.accept();
      while (queued != null) {
        queued.configureBlocking(false);
        accept(queued);
        queued = listener.accept();
      }
    } catch (IOException e) {
      LOGGER.log(
          System.Logger.Level.WARNING,
          "failed to accept the remaining connections in the accept queue",
          e);
    }
    reactor.closeChannel(listener, null);
    listener = null;
  }

  private void accept(SocketChannel channel) {
    if (connections.size() >= limits.maxConnections()) {
      closeIdleForRoom();
    }
    int excess = connections.size() + 1 - limits.maxConnections();
    if (excess > limits.maxRefusedConnections()) {
      refusedConnections.inc();
      reactor.closeChannel(channel, null);
      return;
    }
    HttpServerConnection connection;
    try {
      connection =
          new HttpServerConnection(
              this, TcpSocket.wrapChannel(reactor, channel, SOCKET_SETTINGS), excess > 0);
    } catch (IOException e) {
      // The caller has already closed the connection.
      reactor.closeChannel(channel, null);
      return;
    }
    connections.add(connection);
    connectionCounter.inc();
    connection.start();
  }

  /** Closes the connections that have been idle longest, at most a small part of all. */
  private void closeIdleForRoom() {
    long nowNanos = System.nanoTime();
    List<HttpServerConnection> idle = new ArrayList<>();
    for (HttpServerConnection connection : connections) {
      if (connection.isIdle()
          && nowNanos - connection.stateStartNanos() >= MIN_IDLE_FOR_ROOM_NANOS) {
        idle.add(connection);
      }
    }
    idle.sort(Comparator.comparingLong(HttpServerConnection::stateStartNanos));
    int count = Math.min(idle.size(), 1 + limits.maxConnections() / CLOSED_FOR_ROOM_DIVISOR);
    idle.subList(0, count).forEach(HttpServerConnection::close);
    closedForRoom.inc(count);
  }
}
