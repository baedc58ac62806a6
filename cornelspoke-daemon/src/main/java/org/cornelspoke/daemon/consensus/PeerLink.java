package org.cornelspoke.daemon.consensus;

import io.activej.reactor.nio.NioReactor;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;
import org.cornelspoke.protocol.consensus.PeerMessage;
import org.cornelspoke.protocol.consensus.PeerMessageCodec;
import org.cornelspoke.transport.link.FrameConnection;
import org.cornelspoke.transport.link.FrameListener;

/**
 * The connection over which this VM sends to one other VM; answers come over the other VM's own
 * connection. Frames for a VM that is not connected are dropped.
 */
final class PeerLink {

  private static final System.Logger LOG = System.getLogger(PeerLink.class.getName());
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  private final NioReactor reactor;
  private final VmId vmId;
  private final Endpoint address;
  private final Supplier<PeerMessage.Hello> hello;
  private final Consumer<VmId> onDown;
  private FrameConnection connection;
  private boolean connecting;
  private boolean stopped;

  PeerLink(
      NioReactor reactor,
      VmId vmId,
      Endpoint address,
      Supplier<PeerMessage.Hello> hello,
      Consumer<VmId> onDown) {
    this.reactor = reactor;
    this.vmId = vmId;
    this.address = address;
    this.hello = hello;
    this.onDown = onDown;
  }

  /** Starts to connect unless the link is up. */
  void connectIfDown() {
    if (stopped || connecting || connection != null) {
      return;
    }
    connecting = true;
    FrameConnection.connect(reactor, address.toSocketAddress(), CONNECT_TIMEOUT)
        .whenComplete(
            (opened, e) -> {
              connecting = false;
              if (e == null) {
                onConnected(opened);
              }
            });
  }

  /** Returns false if the frame was certainly not sent. */
  boolean send(byte[] frame) {
    if (connection == null) {
      return false;
    }
    connection.send(frame);
    return true;
  }

  void stop() {
    stopped = true;
    if (connection != null) {
      connection.close();
    }
  }

  private void onConnected(FrameConnection opened) {
    if (stopped) {
      opened.close();
      return;
    }
    connection = opened;
    opened.send(PeerMessageCodec.encode(hello.get()));
    opened.start(
        new FrameListener() {
          @Override
          public void onFrame(byte[] frame) {
            throw new IllegalStateException("peer answered on the wrong connection");
          }

          @Override
          public void onClosed(Exception cause) {
            connection = null;
            if (!stopped) {
              LOG.log(
                  System.Logger.Level.INFO,
                  "connection to {0} closed: {1}",
                  vmId,
                  cause.getMessage());
              onDown.accept(vmId);
            }
          }
        });
  }
}
