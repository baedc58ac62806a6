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
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.util.Assert;

/**
 * HTTP/1.1 server with strict syntax checks. A malformed request is answered with 400, 413, 431 or
 * 501, its connection is closed, and the handler does not see it.
 *
 * <p>Belongs to the thread of its reactor.
 */
public final class HttpServer {

  static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(75);
  static final long HEAD_NANOS = TimeUnit.SECONDS.toNanos(10);
  static final long BODY_NANOS = TimeUnit.SECONDS.toNanos(30);
  static final long LINGER_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Connections that may wait to be accepted; callers reconnect in bursts after a failure. */
  private static final int BACKLOG = 1_024;

  private static final System.Logger LOGGER = System.getLogger(HttpServer.class.getName());

  private static final SocketSettings SOCKET_SETTINGS =
      SocketSettings.builder().withTcpNoDelay(true).build();

  private final NioReactor reactor;
  private final InetSocketAddress address;
  private final HttpHandler handler;
  private final int maxBodyBytes;
  private final Set<HttpServerConnection> connections = new LinkedHashSet<>();
  private final Counter connectionCount;
  private final Meter requests;
  private final Meter malformed;
  private final Meter faults;
  private volatile InetSocketAddress boundAddress;
  private ServerSocketChannel listener;
  private int serving;
  private boolean closing;

  /**
   * Creates a server that does not yet listen.
   *
   * @param metricPrefix start of the metric names, for example {@code edge}
   */
  public HttpServer(
      NioReactor reactor,
      InetSocketAddress address,
      int maxBodyBytes,
      HttpHandler handler,
      MetricRegistry metrics,
      String metricPrefix) {
    this.reactor = Assert.notNull(reactor, "reactor");
    this.address = Assert.notNull(address, "address");
    Assert.isTrue(maxBodyBytes > 0, "maxBodyBytes must be positive");
    this.handler = Assert.notNull(handler, "handler");
    this.maxBodyBytes = maxBodyBytes;
    this.connectionCount = metrics.counter(metricPrefix + ".connections");
    this.requests = metrics.meter(metricPrefix + ".requests");
    this.malformed = metrics.meter(metricPrefix + ".malformed");
    this.faults = metrics.meter(metricPrefix + ".faults");
  }

  /**
   * Starts to listen.
   *
   * @throws IOException if the address is in use
   */
  public void start() throws IOException {
    listener = reactor.listen(address, ServerSocketSettings.create(BACKLOG), this::accept);
    boundAddress = (InetSocketAddress) listener.getLocalAddress();
  }

  /**
   * Returns the address in use, with the port that the system chose if port 0 was given. Safe for
   * use by any thread once the server listens.
   */
  public InetSocketAddress boundAddress() {
    return boundAddress;
  }

  /** Answers from now on with {@code Connection: close}, so that callers move elsewhere. */
  public void startClosing() {
    closing = true;
  }

  /**
   * Stops listening a moment later. Open connections stay open. Connections that wait to be
   * accepted are accepted first, because closing the listener resets them together with their
   * requests.
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

  /** Closes connections that carry no request and have been silent for a time. */
  public void closeIdle(long nowNanos, long silentNanos) {
    for (HttpServerConnection connection : new ArrayList<>(connections)) {
      if (connection.isIdle() && nowNanos - connection.stateSinceNanos() >= silentNanos) {
        connection.close();
      }
    }
  }

  /** Returns true if every open connection has its last answer. */
  public boolean onlyLingers() {
    return serving == 0 && connections.stream().allMatch(HttpServerConnection::isLingering);
  }

  /** Closes the listener and every connection, also those that carry a request. */
  public void closeAll() {
    if (listener != null) {
      reactor.closeChannel(listener, listener.keyFor(reactor.ensureSelector()));
      listener = null;
    }
    new ArrayList<>(connections).forEach(HttpServerConnection::close);
  }

  /** Closes connections on which the caller has been silent for too long. */
  public void sweep(long nowNanos) {
    for (HttpServerConnection connection : new ArrayList<>(connections)) {
      connection.sweep(nowNanos);
    }
  }

  /** Returns the number of requests that have no answer yet. */
  public int serving() {
    return serving;
  }

  /** Returns the number of open connections. */
  public int connections() {
    return connections.size();
  }

  int maxBodyBytes() {
    return maxBodyBytes;
  }

  boolean isClosing() {
    return closing;
  }

  void serve(HttpExchange exchange) {
    requests.mark();
    serving++;
    try {
      handler.onRequest(exchange);
    } catch (RuntimeException e) {
      faults.mark();
      LOGGER.log(System.Logger.Level.ERROR, "fault while serving a request", e);
      exchange.fail();
    }
  }

  void onServed() {
    serving--;
  }

  void onMalformed(HttpSyntaxException e) {
    malformed.mark();
  }

  void onClosed(HttpServerConnection connection) {
    if (connections.remove(connection)) {
      connectionCount.dec();
    }
  }

  /**
   * The system closes a registered channel only after the selector has let go of it, and until then
   * it would complete connections that nobody accepts.
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
      SocketChannel waiting = listener.accept();
      while (waiting != null) {
        waiting.configureBlocking(false);
        accept(waiting);
        waiting = listener.accept();
      }
      listener.close();
    } catch (IOException e) {
      LOGGER.log(System.Logger.Level.WARNING, "can't accept the last connections", e);
    }
    listener = null;
  }

  private void accept(SocketChannel channel) {
    HttpServerConnection connection;
    try {
      connection =
          new HttpServerConnection(this, TcpSocket.wrapChannel(reactor, channel, SOCKET_SETTINGS));
    } catch (IOException e) {
      // The caller has closed the connection already.
      reactor.closeChannel(channel, null);
      return;
    }
    connections.add(connection);
    connectionCount.inc();
    connection.start();
  }
}
