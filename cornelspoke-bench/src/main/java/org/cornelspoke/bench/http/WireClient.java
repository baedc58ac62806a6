package org.cornelspoke.bench.http;

import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * HTTP/1.1 client with a pool of kept-alive connections for each address. It never repeats a
 * request. Bytes that arrive when no answer is due close the connection and are counted.
 *
 * <p>Belongs to the thread of its reactor.
 */
public final class WireClient {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final SocketSettings SOCKET_SETTINGS =
      SocketSettings.builder().withTcpNoDelay(true).build();

  private final NioReactor reactor;
  private final Map<InetSocketAddress, Deque<WireClientConnection>> idle = new HashMap<>();
  private long surplusAnswers;
  private boolean closed;

  /** Creates a client without connections. */
  public WireClient(NioReactor reactor) {
    this.reactor = reactor;
  }

  /**
   * Sends a request and waits for the whole answer.
   *
   * @param requestBytes the request as {@link WireFormat#request} writes it
   * @return fails with a {@link WireException} if no whole answer arrives in time
   */
  public Promise<WireMessage> call(
      InetSocketAddress address, byte[] requestBytes, long timeoutMillis) {
    return start(address, requestBytes, timeoutMillis).answer();
  }

  /** Sends a request as {@link #call} does and returns it in a form that can be cancelled. */
  public WireCall start(InetSocketAddress address, byte[] requestBytes, long timeoutMillis) {
    WireCall call = new WireCall();
    Deque<WireClientConnection> free = idle.computeIfAbsent(address, key -> new ArrayDeque<>());
    WireClientConnection pooled = free.pollLast();
    if (pooled != null) {
      pooled.exchange(requestBytes, timeoutMillis, call);
      return call;
    }
    TcpSocket.connect(reactor, address, CONNECT_TIMEOUT, SOCKET_SETTINGS)
        .whenComplete(
            (socket, e) -> {
              if (e != null) {
                call.answer.setException(
                    new WireException(WireException.Kind.CONNECT, String.valueOf(e.getMessage())));
                return;
              }
              if (call.isCancelled()) {
                socket.close();
                call.answer.setException(
                    new WireException(WireException.Kind.CANCELLED, "cancelled"));
                return;
              }
              WireClientConnection connection =
                  new WireClientConnection(reactor, socket, this, free);
              connection.read();
              connection.exchange(requestBytes, timeoutMillis, call);
            });
    return call;
  }

  /** Returns how often bytes arrived on a connection without a request. */
  public long surplusAnswers() {
    return surplusAnswers;
  }

  /** Closes the idle connections and each other one when its exchange ends. */
  public void close() {
    closed = true;
    List<WireClientConnection> open = new ArrayList<>();
    idle.values().forEach(open::addAll);
    open.forEach(WireClientConnection::close);
  }

  boolean isClosed() {
    return closed;
  }

  void countSurplus() {
    surplusAnswers++;
  }
}
