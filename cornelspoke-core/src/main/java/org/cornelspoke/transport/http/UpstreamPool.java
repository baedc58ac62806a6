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
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.protocol.call.CallResult;
import org.cornelspoke.util.Assert;

/**
 * Connections to one upstream. The longest idle connection is used first, so that bytes which an
 * upstream sends after the end of an answer are noticed before the connection is used again.
 *
 * <p>Belongs to the thread of its reactor.
 */
public final class UpstreamPool {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  /** Idle connections that are kept ready, because a new connection costs about 1 ms. */
  private static final int MIN_SPARE = 2;

  /**
   * A connection that has been idle for less is used only if there is no other one, and a further
   * one is opened, so that late surplus bytes have time to arrive before the next request is sent.
   */
  private static final long MIN_REST_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

  /** Part of the heap that unfinished answers of the upstream may take. */
  private static final double RESERVED_HEAP_PART = 0.25;

  private static final SocketSettings SOCKET_SETTINGS =
      SocketSettings.builder().withTcpNoDelay(true).build();

  private final NioReactor reactor;
  private final InetSocketAddress address;
  private final int maxBodyBytes;
  private final AnswerPolicy answerPolicy;
  private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
  private final Set<UpstreamConnection> open = new HashSet<>();
  private final Counter surplus;
  private final Counter unexpectedData;
  private final Counter opened;
  private final Counter givenUp;
  private int maxConnections;
  private int connecting;
  private long maxReservedBytes = (long) (Runtime.getRuntime().maxMemory() * RESERVED_HEAP_PART);
  private long reservedBytes;
  private boolean closed;

  /**
   * Creates a pool without connections.
   *
   * @param maxBodyBytes largest answer body
   * @param maxConnections connections that are opened ahead at most; exchanges above it still get
   *     one, because the gate bounds them
   */
  public UpstreamPool(
      NioReactor reactor,
      Endpoint upstream,
      int maxBodyBytes,
      int maxConnections,
      AnswerPolicy answerPolicy,
      MetricRegistry metrics) {
    this.answerPolicy = Assert.notNull(answerPolicy, "answerPolicy");
    this.reactor = Assert.notNull(reactor, "reactor");
    this.address = upstream.toSocketAddress();
    this.maxBodyBytes = maxBodyBytes;
    this.maxConnections = maxConnections;
    this.surplus = metrics.counter("upstream.surplus-closes");
    this.unexpectedData = metrics.counter("upstream.idle-data-closes");
    this.givenUp = metrics.counter("upstream.answers-given-up");
    this.opened = metrics.counter("upstream.connections-opened");
  }

  /** Opens spare connections ahead of the first request. */
  public void warmUp() {
    while (!closed && idle.size() + connecting < Math.min(MIN_SPARE, maxConnections)) {
      connect(null);
    }
  }

  /** Sets how many connections are opened ahead at most. */
  public void setMaxConnections(int connections) {
    maxConnections = connections;
  }

  /** Sets the memory that unfinished answers may take; a quarter of the heap by default. */
  public void setMaxReservedBytes(long bytes) {
    Assert.isTrue(bytes > 0, "bytes must be positive");
    maxReservedBytes = bytes;
  }

  /** Sends a request. */
  public UpstreamExchange send(UpstreamRequest request, UpstreamExchange.Listener listener) {
    UpstreamExchange exchange = new UpstreamExchange(request, listener);
    UpstreamConnection connection = takeIdle();
    if (connection == null) {
      connect(exchange);
    } else {
      connection.send(exchange);
    }
    return exchange;
  }

  /** Closes the idle connections now and the others when their exchange has ended. */
  public void close() {
    closed = true;
    for (UpstreamConnection connection : new ArrayList<>(idle)) {
      connection.close();
    }
  }

  int maxBodyBytes() {
    return maxBodyBytes;
  }

  AnswerPolicy answerPolicy() {
    return answerPolicy;
  }

  void onIdle(UpstreamConnection connection) {
    if (closed) {
      connection.close();
    } else {
      idle.addLast(connection);
    }
  }

  void onClosed(UpstreamConnection connection) {
    open.remove(connection);
    idle.remove(connection);
  }

  /**
   * Counts the memory of unfinished answers. If there is too much, the largest answer is given up:
   * a faulty upstream may send bytes without end, on many connections at once.
   */
  void onReserved(long changeBytes) {
    reservedBytes += changeBytes;
    if (changeBytes > 0 && reservedBytes > maxReservedBytes) {
      givenUp.inc();
      open.stream()
          .max(Comparator.comparingInt(UpstreamConnection::reservedBytes))
          .ifPresent(UpstreamConnection::giveUp);
    }
  }

  void onSurplus() {
    surplus.inc();
  }

  void onUnexpectedData() {
    unexpectedData.inc();
  }

  private UpstreamConnection takeIdle() {
    while (true) {
      UpstreamConnection connection = idle.pollFirst();
      if (connection == null) {
        return null;
      }
      if (connection.isReusable()) {
        boolean rested = System.nanoTime() - connection.idleSinceNanos() >= MIN_REST_NANOS;
        boolean fewSpares = idle.size() + connecting < MIN_SPARE;
        if ((!rested || fewSpares) && connecting == 0 && open.size() < maxConnections) {
          connect(null);
        }
        return connection;
      }
      unexpectedData.inc();
      connection.close();
    }
  }

  /** Opens a connection for an exchange, or a spare one if the exchange is null. */
  private void connect(UpstreamExchange exchange) {
    connecting++;
    opened.inc();
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
    open.add(connection);
    if (exchange == null || exchange.isEnded()) {
      onIdle(connection);
    } else {
      connection.send(exchange);
    }
    connection.start();
  }
}
