package org.cornelspoke.daemon.relay;

import org.cornelspoke.coordination.dissemination.ControlMessage;
import org.cornelspoke.coordination.dissemination.RelaySession;
import org.cornelspoke.model.VmId;
import org.cornelspoke.protocol.control.ControlCodec;
import org.cornelspoke.transport.link.FrameConnection;
import org.cornelspoke.transport.link.FrameListener;

/** An accepted connection. Its first message tells whether the peer is a daemon or a relay. */
final class RelayConnection implements FrameListener {

  private final RelayServer server;
  private final FrameConnection connection;
  private RelaySession session;
  private VmId peer;

  RelayConnection(RelayServer server, FrameConnection connection) {
    this.server = server;
    this.connection = connection;
  }

  @Override
  public void onFrame(byte[] frame) {
    ControlMessage message = ControlCodec.decode(frame);
    if (session != null) {
      server.receive(session, connection, message);
    } else if (peer != null) {
      server.receiveFromPeer(peer, connection, message);
    } else if (message instanceof ControlMessage.ControlHello hello) {
      session = server.attach(hello, connection);
    } else if (message instanceof ControlMessage.PeerHello hello) {
      peer = hello.vm();
      server.attachPeer(peer, connection);
    } else {
      throw new IllegalArgumentException("the first message must be a hello");
    }
  }

  @Override
  public void onClosed(Exception cause) {
    if (session != null) {
      server.detach(session);
    } else if (peer != null) {
      server.detachPeer(peer, connection);
    }
  }
}
