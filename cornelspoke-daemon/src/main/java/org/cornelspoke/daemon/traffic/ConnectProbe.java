package org.cornelspoke.daemon.traffic;

import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.net.ConnectException;
import java.time.Duration;
import org.cornelspoke.model.Endpoint;

/** Probes an upstream with a TCP connection. Confined to the thread of its reactor. */
final class ConnectProbe implements UpstreamProbe {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  private final NioReactor reactor;
  private final Endpoint address;

  ConnectProbe(NioReactor reactor, Endpoint address) {
    this.reactor = reactor;
    this.address = address;
  }

  @Override
  public Promise<Boolean> isRefused() {
    return TcpSocket.connect(
            reactor, address.toSocketAddress(), CONNECT_TIMEOUT, SocketSettings.defaultInstance())
        .then(
            (socket, e) -> {
              if (socket != null) {
                socket.close();
              }
              return Promise.of(e instanceof ConnectException);
            });
  }
}
