package org.cornelspoke.daemon.consensus;

import static com.google.common.truth.Truth.assertThat;

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;
import org.cornelspoke.protocol.consensus.MalformedFrameException;
import org.cornelspoke.protocol.consensus.PeerMessage;
import org.cornelspoke.protocol.consensus.PeerMessageCodec;
import org.cornelspoke.state.log.MemberIdentity;
import org.cornelspoke.transport.link.FrameConnection;
import org.cornelspoke.transport.link.FrameListener;
import org.cornelspoke.transport.link.FrameServer;
import org.junit.jupiter.api.Test;

class PeerLinkTest {

  private static final VmId PEER = new VmId("control-2");
  private static final PeerMessage.Hello HELLO =
      new PeerMessage.Hello(
          new VmId("control-1"), MemberIdentity.seeded(1), new Endpoint("127.0.0.1", 1), true);

  private final Eventloop reactor = Eventloop.create();
  private final List<String> events = new ArrayList<>();
  private long nowMillis = 1_000;
  private Optional<FrameServer> server = Optional.empty();
  private Optional<PeerLink> link = Optional.empty();

  /** Guards against a link that keeps a dead connection after a network partition. */
  @Test
  void silentPeerIsReconnected() throws Exception {
    run(
        false,
        () -> {
          if (!events.contains("down")) {
            nowMillis += 500;
          }
        },
        2);
    assertThat(events).containsExactly("hello", "down", "hello").inOrder();
  }

  /** Guards against a healthy link that is closed because only pongs are received. */
  @Test
  void replyingPeerStaysConnected() throws Exception {
    run(true, () -> nowMillis += 500, 50);
    assertThat(events).containsNoneOf("down", "frame lost");
    assertThat(events.stream().filter("hello"::equals).count()).isEqualTo(1);
  }

  /** Runs until the server has received {@code expectedFrames} hellos and answered pings. */
  private void run(boolean replies, Runnable onStep, int expectedFrames) throws Exception {
    FrameServer frameServer =
        new FrameServer(
            reactor,
            new Endpoint("127.0.0.1", 0).toSocketAddress(),
            connection -> connection.start(new Peer(connection, replies, onStep, expectedFrames)));
    frameServer.start();
    server = Optional.of(frameServer);
    Endpoint address = new Endpoint("127.0.0.1", frameServer.boundAddress().getPort());
    PeerLink testedLink =
        new PeerLink(
            reactor,
            PEER,
            address,
            () -> HELLO,
            id -> events.add("down"),
            () -> nowMillis,
            members -> {});
    link = Optional.of(testedLink);
    reactor.post(() -> step(replies ? () -> {} : onStep));
    reactor.run();
  }

  /** Advances the time with each step if the peer is silent, and with each pong otherwise. */
  private void step(Runnable onStep) {
    if (link.isPresent()) {
      onStep.run();
      link.get().maintain(nowMillis);
      reactor.delay(1, () -> step(onStep));
    }
  }

  private final class Peer implements FrameListener {
    private final FrameConnection connection;
    private final boolean replies;
    private final Runnable onReply;
    private final int expectedFrames;

    Peer(FrameConnection connection, boolean replies, Runnable onReply, int expectedFrames) {
      this.connection = connection;
      this.replies = replies;
      this.onReply = onReply;
      this.expectedFrames = expectedFrames;
    }

    @Override
    public void onFrame(byte[] frame) {
      try {
        PeerMessage message = PeerMessageCodec.decode(frame);
        if (message instanceof PeerMessage.Hello) {
          events.add("hello");
        } else if (replies) {
          connection.send(PeerMessageCodec.encode(new PeerMessage.Pong()));
          events.add("ping");
          onReply.run();
        }
      } catch (MalformedFrameException e) {
        events.add("frame lost");
      }
      long counted = events.stream().filter(e -> !e.equals("down")).count();
      if (counted >= expectedFrames) {
        link.ifPresent(PeerLink::stop);
        link = Optional.empty();
        server.ifPresent(FrameServer::stop);
      }
    }

    @Override
    public void onClosed(Exception cause) {
      // The link under test reports the loss itself.
    }
  }
}
