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
 * HTTP/1.1 client with a pool of persistent connections for each address. It never retries a
 * request. Bytes that arrive while no response is pending close the connection and are counted.
 *
 * <p>Must be used only on the thread of its reactor.
 */
public final class WireClient {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final SocketSettings SOCKET_SETTINGS =
      SocketSettings.builder().withTcpNoDelay(true).build();

  private final NioReactor reactor;
  private final Map<InetSocketAddress, Deque<WireClientConnection>> idleByAddress = new HashMap<>();
  private long unsolicitedResponses;
  private boolean closed;

  /** Creates a client without connections. */
  public WireClient(NioReactor reactor) {
    this.reactor = reactor;
  }

  /**
   * Sends a request and returns a promise of the complete response.
   *
   * @param requestBytes the request as {@link WireFormat#request} writes it
   * @return the response; fails with a {@link WireException} if it is not complete in time
   */
  public Promise<WireMessage> call(
      InetSocketAddress address, byte[] requestBytes, long timeoutMillis) {
    return start(address, requestBytes, timeoutMillis).response();
  }

  /** Sends a request like {@link #call} and returns a call that can be cancelled. */
  public WireCall start(InetSocketAddress address, byte[] requestBytes, long timeoutMillis) {
    WireCall call = new WireCall();
    Deque<WireClientConnection> idleConnections =
        idleByAddress.computeIfAbsent(address, key -> new ArrayDeque<>());
    WireClientConnection pooled = idleConnections.pollLast();
    if (pooled != null) {
      pooled.exchange(requestBytes, timeoutMillis, call);
      return call;
    }
    TcpSocket.connect(reactor, address, CONNECT_TIMEOUT, SOCKET_SETTINGS)
        .whenComplete(
            (socket, e) -> {
              if (e != null) {
                call.response.setException(
                    new WireException(WireException.Kind.CONNECT, String.valueOf(e.getMessage())));
                return;
              }
              if (call.isCancelled()) {
                socket.close();
                call.response.setException(
                    new WireException(WireException.Kind.CANCELLED, "cancelled"));
                return;
              }
              WireClientConnection connection =
                  new WireClientConnection(reactor, socket, this, idleConnections);
              connection.read();
              connection.exchange(requestBytes, timeoutMillis, call);
            });
    return call;
  }

  /** Returns how often bytes arrived on a connection while no response was pending. */
  public long unsolicitedResponses() {
    return unsolicitedResponses;
  }

  /** Closes idle connections now and the others when their exchanges end. */
  public void close() {
    closed = true;
    List<WireClientConnection> openConnections = new ArrayList<>();
    idleByAddress.values().forEach(openConnections::addAll);
    openConnections.forEach(WireClientConnection::close);
  }

  boolean isClosed() {
    return closed;
  }

  void countUnsolicitedResponse() {
    unsolicitedResponses++;
  }
}
