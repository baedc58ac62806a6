package org.cornelspoke.transport.link;

import static com.google.common.truth.Truth.assertThat;

import io.activej.eventloop.Eventloop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.cornelspoke.model.Endpoint;
import org.junit.jupiter.api.Test;

class FrameConnectionTest {

  private static final long SEED = 7;

  private final Eventloop reactor = Eventloop.create();

  /** Guards against frames that are lost, split, merged or reordered. */
  @Test
  void framesArriveCompleteAndInOrder() throws Exception {
    List<byte[]> sent = new ArrayList<>();
    Random random = new Random(SEED);
    for (int i = 0; i < 300; i++) {
      byte[] frame = new byte[1 + random.nextInt(40_000)];
      random.nextBytes(frame);
      sent.add(frame);
    }
    List<byte[]> received = new ArrayList<>();
    run(
        connection -> sent.forEach(connection::send),
        (server, frame) -> {
          received.add(frame);
          if (received.size() == sent.size()) {
            server.close();
          }
        });
    assertThat(received).hasSize(sent.size());
    for (int i = 0; i < sent.size(); i++) {
      assertThat(received.get(i)).isEqualTo(sent.get(i));
    }
  }

  /** Guards against a connection that stays open in an unknown state after its listener throws. */
  @Test
  void listenerExceptionClosesConnection() throws Exception {
    List<byte[]> received = new ArrayList<>();
    run(
        connection -> {
          connection.send(new byte[] {1});
          connection.send(new byte[] {2});
        },
        (server, frame) -> {
          received.add(frame);
          throw new IllegalStateException("listener failure");
        });
    assertThat(received).hasSize(1);
  }

  private interface Receiver {
    void onFrame(FrameConnection server, byte[] frame);
  }

  private void run(java.util.function.Consumer<FrameConnection> sender, Receiver receiver)
      throws Exception {
    FrameServer[] serverHolder = new FrameServer[1];
    FrameServer server =
        new FrameServer(
            reactor,
            new Endpoint("127.0.0.1", 0).toSocketAddress(),
            connection -> connection.start(listener(connection, serverHolder, receiver)));
    serverHolder[0] = server;
    reactor.post(
        () -> {
          try {
            server.start();
          } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
          }
          FrameConnection.connect(reactor, server.boundAddress(), Duration.ofSeconds(5))
              .whenResult(
                  connection -> {
                    connection.start(
                        listener(connection, serverHolder, (receivingConnection, frame) -> {}));
                    sender.accept(connection);
                  });
        });
    reactor.run();
  }

  private static FrameListener listener(
      FrameConnection connection, FrameServer[] serverHolder, Receiver receiver) {
    return new FrameListener() {
      @Override
      public void onFrame(byte[] frame) {
        receiver.onFrame(connection, frame);
      }

      @Override
      public void onClosed(Exception cause) {
        serverHolder[0].stop();
      }
    };
  }
}
