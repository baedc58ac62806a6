package org.cornelspoke.transport.http;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.protocol.call.CallResult;
import org.cornelspoke.util.Assert;

/**
 * Pool of connections to one upstream. The connection that has been idle longest is used first, so
 * that bytes that an upstream sends after the end of a response are detected before the connection
 * is reused.
 *
 * <p>Confined to the thread of its reactor.
 */
public final class UpstreamPool {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  /** Spare idle connections that are kept open, because connecting takes about 1 ms. */
  private static final int MIN_SPARE_CONNECTIONS = 2;

  /**
   * A connection that has been idle for a shorter time is used only if there is no other one, and
   * another one is then opened, so that late surplus bytes can arrive before the next request is
   * sent.
   */
  private static final long MIN_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

  private static final SocketSettings SOCKET_SETTINGS =
      SocketSettings.builder().withTcpNoDelay(true).build();

  private final NioReactor reactor;
  private final InetSocketAddress address;
  private final int maxBodyBytes;
  private final ResponsePolicy responsePolicy;
  private final Deque<UpstreamConnection> idleConnections = new ArrayDeque<>();
  private final Set<UpstreamConnection> openConnections = new HashSet<>();
  private final Counter surplusCloses;
  private final Counter idleDataCloses;
  private final Counter connectionsOpened;
  private final ResponseMemory responseMemory;
  private int maxConnections;
  private int connecting;
  private boolean closed;

  /**
   * Creates a pool without connections.
   *
   * @param maxBodyBytes largest response body
   * @param maxConnections limit up to which spare connections are opened in advance; exchanges
   *     beyond it still get a connection, because the gate limits their number
   * @param responseMemory memory of incomplete responses, shared by all pools of the daemon
   */
  public UpstreamPool(
      NioReactor reactor,
      Endpoint upstream,
      int maxBodyBytes,
      int maxConnections,
      ResponsePolicy responsePolicy,
      ResponseMemory responseMemory,
      MetricRegistry metrics) {
    this.responseMemory = Assert.notNull(responseMemory, "responseMemory");
    this.responsePolicy = Assert.notNull(responsePolicy, "responsePolicy");
    this.reactor = Assert.notNull(reactor, "reactor");
    this.address = upstream.toSocketAddress();
    this.maxBodyBytes = maxBodyBytes;
    this.maxConnections = maxConnections;
    this.surplusCloses = metrics.counter("upstream.surplus-closes");
    this.idleDataCloses = metrics.counter("upstream.idle-data-closes");
    this.connectionsOpened = metrics.counter("upstream.connections-opened");
  }

  /** Opens spare connections before the first request. */
  public void warmUp() {
    while (!closed
        && idleConnections.size() + connecting < Math.min(MIN_SPARE_CONNECTIONS, maxConnections)) {
      connect(null);
    }
  }

  /** Sets the limit up to which spare connections are opened in advance. */
  public void setMaxConnections(int connectionLimit) {
    maxConnections = connectionLimit;
  }

  /** Sends a request. */
  public UpstreamExchange send(UpstreamRequest request, UpstreamExchange.Listener listener) {
    UpstreamExchange exchange = new UpstreamExchange(request, listener);
    UpstreamConnection connection = pollReusable(request);
    if (connection == null) {
      connect(exchange);
    } else {
      connection.send(exchange);
    }
    return exchange;
  }

  /** Closes idle connections now and each other connection when its exchange has ended. */
  public void close() {
    closed = true;
    for (UpstreamConnection connection : new ArrayList<>(idleConnections)) {
      connection.close();
    }
  }

  int maxBodyBytes() {
    return maxBodyBytes;
  }

  ResponsePolicy responsePolicy() {
    return responsePolicy;
  }

  void onIdle(UpstreamConnection connection) {
    if (closed) {
      connection.close();
    } else {
      idleConnections.addLast(connection);
    }
  }

  void onClosed(UpstreamConnection connection) {
    openConnections.remove(connection);
    idleConnections.remove(connection);
  }

  ResponseMemory responseMemory() {
    return responseMemory;
  }

  void onSurplusData() {
    surplusCloses.inc();
  }

  void onUnexpectedData() {
    idleDataCloses.inc();
  }

  private UpstreamConnection pollReusable(UpstreamRequest request) {
    while (true) {
      UpstreamConnection connection = idleConnections.pollFirst();
      if (connection == null) {
        return null;
      }
      if (connection.hasRefused(request)) {
        connection.close();
        continue;
      }
      if (connection.isReusable()) {
        boolean idleLongEnough = System.nanoTime() - connection.idleStartNanos() >= MIN_IDLE_NANOS;
        boolean fewSpares = idleConnections.size() + connecting < MIN_SPARE_CONNECTIONS;
        if ((!idleLongEnough || fewSpares)
            && connecting == 0
            && openConnections.size() < maxConnections) {
          connect(null);
        }
        return connection;
      }
      idleDataCloses.inc();
      connection.close();
    }
  }

  /** Opens a connection for an exchange, or a spare connection if the exchange is null. */
  private void connect(UpstreamExchange exchange) {
    connecting++;
    connectionsOpened.inc();
    TcpSocket.connect(reactor, address, CONNECT_TIMEOUT, SOCKET_SETTINGS)
        .whenComplete(
            (socket, e) -> {
              connecting--;
              if (e == null) {
                onConnected(socket, exchange);
              } else if (exchange != null) {
                exchange.end(new CallResult.Refused(RefusalReason.NO_TARGET, 0));
              }
            });
  }

  private void onConnected(TcpSocket socket, UpstreamExchange exchange) {
    UpstreamConnection connection = new UpstreamConnection(this, socket);
    openConnections.add(connection);
    if (exchange == null || exchange.isEnded()) {
      onIdle(connection);
    } else {
      connection.send(exchange);
    }
    connection.start();
  }
}
