package org.cornelspoke.daemon.consensus;

import io.activej.reactor.nio.NioReactor;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;
import org.cornelspoke.protocol.consensus.MalformedFrameException;
import org.cornelspoke.protocol.consensus.PeerMessage;
import org.cornelspoke.protocol.consensus.PeerMessageCodec;
import org.cornelspoke.transport.link.FrameConnection;
import org.cornelspoke.transport.link.FrameListener;

/**
 * Outgoing connection to one other VM. Only pongs and member announcements are received on it; all
 * other messages arrive on the connection that the other VM opens. Frames are dropped while the
 * link is down.
 */
final class PeerLink {

  private static final System.Logger LOG = System.getLogger(PeerLink.class.getName());
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final byte[] PING = PeerMessageCodec.encode(new PeerMessage.Ping());

  /**
   * Time without a received frame after which the connection is closed and reopened. After a long
   * partition TCP retransmits only every two minutes, which would delay the recovery by as much.
   */
  private static final long PONG_TIMEOUT_MILLIS = 2_000;

  /** Short enough for several pings within {@link #PONG_TIMEOUT_MILLIS}. */
  private static final long PING_INTERVAL_MILLIS = 500;

  private final NioReactor reactor;
  private final VmId vmId;
  private final Endpoint address;
  private final Supplier<PeerMessage.Hello> hello;
  private final Consumer<VmId> onDisconnected;
  private final LongSupplier millisClock;
  private final Consumer<PeerMessage.Members> onMembers;
  private FrameConnection connection;
  private long lastFrameAtMillis;
  private long lastPingAtMillis;
  private boolean connecting;
  private boolean stopped;

  PeerLink(
      NioReactor reactor,
      VmId vmId,
      Endpoint address,
      Supplier<PeerMessage.Hello> hello,
      Consumer<VmId> onDisconnected,
      LongSupplier millisClock,
      Consumer<PeerMessage.Members> onMembers) {
    this.reactor = reactor;
    this.vmId = vmId;
    this.address = address;
    this.hello = hello;
    this.onDisconnected = onDisconnected;
    this.millisClock = millisClock;
    this.onMembers = onMembers;
  }

  /** Starts to connect if the link is down; otherwise checks that the peer still replies. */
  void maintain(long nowMillis) {
    if (stopped || connecting) {
      return;
    }
    if (connection != null) {
      if (nowMillis - lastFrameAtMillis > PONG_TIMEOUT_MILLIS) {
        connection.close();
      } else if (nowMillis - lastPingAtMillis >= PING_INTERVAL_MILLIS) {
        lastPingAtMillis = nowMillis;
        connection.send(PING);
      }
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

  /** Returns false if the link is down and the frame was not sent. */
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

  private void receive(byte[] frame) {
    try {
      if (PeerMessageCodec.decode(frame) instanceof PeerMessage.Members members) {
        onMembers.accept(members);
      }
    } catch (MalformedFrameException e) {
      throw new IllegalArgumentException(e);
    }
  }

  private void onConnected(FrameConnection opened) {
    if (stopped) {
      opened.close();
      return;
    }
    connection = opened;
    lastFrameAtMillis = millisClock.getAsLong();
    opened.send(PeerMessageCodec.encode(hello.get()));
    opened.start(
        new FrameListener() {
          @Override
          public void onFrame(byte[] frame) {
            lastFrameAtMillis = millisClock.getAsLong();
            receive(frame);
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
              onDisconnected.accept(vmId);
            }
          }
        });
  }
}
