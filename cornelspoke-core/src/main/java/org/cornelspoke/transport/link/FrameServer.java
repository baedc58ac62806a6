package org.cornelspoke.transport.link;

import io.activej.net.SimpleServer;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.cornelspoke.util.Assert;

/**
 * Accepts frame connections. The acceptor must call {@link FrameConnection#start} on each
 * connection.
 *
 * <p>Confined to the thread of its reactor.
 */
public final class FrameServer {

  private final SimpleServer server;

  /** Creates a server that is not yet listening. */
  public FrameServer(
      NioReactor reactor, InetSocketAddress address, Consumer<FrameConnection> acceptor) {
    Assert.notNull(acceptor, "acceptor");
    this.server =
        SimpleServer.builder(
                reactor, socket -> acceptor.accept(FrameConnection.ofAccepted(reactor, socket)))
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

  /** Stops listening. Accepted connections stay open. */
  public void stop() {
    server.close();
  }
}
