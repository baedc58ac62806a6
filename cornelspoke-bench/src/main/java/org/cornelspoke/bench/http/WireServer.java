package org.cornelspoke.bench.http;

import io.activej.net.SimpleServer;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Accepts HTTP/1.1 connections and passes each request to a handler. The requests of one connection
 * are handled sequentially.
 *
 * <p>Must be used only on the thread of its reactor.
 */
public final class WireServer {

  private final SimpleServer server;
  private final Set<WireServerConnection> connections = new LinkedHashSet<>();

  /** Creates a server that is not yet listening. */
  public WireServer(NioReactor reactor, InetSocketAddress address, Consumer<WireExchange> handler) {
    this.server =
        SimpleServer.builder(
                reactor,
                socket -> {
                  WireServerConnection connection =
                      new WireServerConnection(socket, handler, connections::remove);
                  connections.add(connection);
                  connection.read();
                })
            .withListenAddress(address)
            .withSocketSettings(SocketSettings.builder().withTcpNoDelay(true).build())
            .build();
  }

  /**
   * Starts listening.
   *
   * @throws IOException if the address cannot be bound
   */
  public void start() throws IOException {
    server.listen();
  }

  /** Returns the port on which the server listens. */
  public int port() {
    return server.getBoundAddresses().get(0).getPort();
  }

  /** Stops listening and closes every connection. */
  public void stop() {
    server.close();
    List.copyOf(connections).forEach(WireServerConnection::close);
  }
}
