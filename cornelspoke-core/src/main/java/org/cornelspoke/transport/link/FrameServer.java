package org.cornelspoke.transport.link;

import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.cornelspoke.util.Assert;

/**
 * Accepts frame connections. The acceptor must call {@link FrameConnection#start} on each
 * connection. A connection on which no frame arrives in time is closed, because its peer may have
 * been lost without a trace.
 *
 * <p>Confined to the thread of its reactor.
 */
public final class FrameServer {

  private static final long FIRST_FRAME_TIMEOUT_MILLIS = 10_000;

  private final NioReactor reactor;
  private final Consumer<FrameConnection> acceptor;
  private final long firstFrameTimeoutMillis;
  private final SimpleServer server;

  /** Creates a server that is not yet listening. */
  public FrameServer(
      NioReactor reactor, InetSocketAddress address, Consumer<FrameConnection> acceptor) {
    this(reactor, address, acceptor, FIRST_FRAME_TIMEOUT_MILLIS);
  }

  FrameServer(
      NioReactor reactor,
      InetSocketAddress address,
      Consumer<FrameConnection> acceptor,
      long firstFrameTimeoutMillis) {
    this.reactor = Assert.notNull(reactor, "reactor");
    this.acceptor = Assert.notNull(acceptor, "acceptor");
    this.firstFrameTimeoutMillis = firstFrameTimeoutMillis;
    this.server =
        SimpleServer.builder(reactor, this::accept)
            .withListenAddress(address)
            .withSocketSettings(SocketSettings.builder().withTcpNoDelay(true).build())
            .build();
  }

  /**
   * Starts listening.
   *
   * @throws IOException if the address is in use
   */
  public void start() throws IOException {
    server.listen();
  }

  /** Returns the local address, with the port that the system chose if port 0 was given. */
  public InetSocketAddress boundAddress() {
    return server.getBoundAddresses().get(0);
  }

  private void accept(ITcpSocket socket) {
    FrameConnection connection = FrameConnection.ofAccepted(reactor, socket);
    reactor.delayBackground(
        firstFrameTimeoutMillis,
        () -> {
          if (!connection.hasReceivedFrame()) {
            connection.close();
          }
        });
    acceptor.accept(connection);
  }

  /** Stops listening. Accepted connections stay open. */
  public void stop() {
    server.close();
  }
}
