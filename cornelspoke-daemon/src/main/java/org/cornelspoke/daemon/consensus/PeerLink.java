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
 * The connection over which this VM sends to one other VM; only answers to pings come back on it,
 * all else comes over the other VM's own connection. Frames for a VM that is not connected are
 * dropped.
 */
final class PeerLink {

  private static final System.Logger LOG = System.getLogger(PeerLink.class.getName());
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final byte[] PING = PeerMessageCodec.encode(new PeerMessage.Ping());

  /**
   * Time without an answer to pings after which the connection is opened anew. After a long
   * partition TCP sends again only every two minutes, which would delay the recovery by as much.
   */
  private static final long ANSWER_TIMEOUT_MILLIS = 2_000;

  /** Several pings fit into the time without an answer. */
  private static final long PING_MILLIS = 500;

  private final NioReactor reactor;
  private final VmId vmId;
  private final Endpoint address;
  private final Supplier<PeerMessage.Hello> hello;
  private final Consumer<VmId> onDown;
  private final LongSupplier nowMillis;
  private final Consumer<PeerMessage.Members> onMembers;
  private FrameConnection connection;
  private long answeredMillis;
  private long pingedMillis;
  private boolean connecting;
  private boolean stopped;

  PeerLink(
      NioReactor reactor,
      VmId vmId,
      Endpoint address,
      Supplier<PeerMessage.Hello> hello,
      Consumer<VmId> onDown,
      LongSupplier nowMillis,
      Consumer<PeerMessage.Members> onMembers) {
    this.reactor = reactor;
    this.vmId = vmId;
    this.address = address;
    this.hello = hello;
    this.onDown = onDown;
    this.nowMillis = nowMillis;
    this.onMembers = onMembers;
  }

  /** Starts to connect if the link is down; otherwise checks that the peer still answers. */
  void maintain(long timeMillis) {
    if (stopped || connecting) {
      return;
    }
    if (connection != null) {
      if (timeMillis - answeredMillis > ANSWER_TIMEOUT_MILLIS) {
        connection.close();
      } else if (timeMillis - pingedMillis >= PING_MILLIS) {
        pingedMillis = timeMillis;
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
    answeredMillis = nowMillis.getAsLong();
    opened.send(PeerMessageCodec.encode(hello.get()));
    opened.start(
        new FrameListener() {
          @Override
          public void onFrame(byte[] frame) {
            answeredMillis = nowMillis.getAsLong();
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
              onDown.accept(vmId);
            }
          }
        });
  }
}
