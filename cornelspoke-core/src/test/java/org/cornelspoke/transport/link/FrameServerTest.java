package org.cornelspoke.transport.link;

import static com.google.common.truth.Truth.assertThat;

import io.activej.eventloop.Eventloop;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.cornelspoke.model.Endpoint;
import org.junit.jupiter.api.Test;

class FrameServerTest {

  private static final long FIRST_FRAME_TIMEOUT_MILLIS = 100;
  private static final int READ_TIMEOUT_MILLIS = 20_000;

  @Test
  void acceptedConnectionWithoutAFrameIsClosed() throws Exception {
    Eventloop reactor = Eventloop.create();
    reactor.keepAlive(true);
    Thread thread = new Thread(reactor, "frame-server-test");
    thread.start();
    CountDownLatch closed = new CountDownLatch(1);
    FrameServer server =
        new FrameServer(
            reactor,
            new Endpoint("127.0.0.1", 0).toSocketAddress(),
            connection ->
                connection.start(
                    new FrameListener() {
                      @Override
                      public void onFrame(byte[] frame) {}

                      @Override
                      public void onClosed(Exception cause) {
                        closed.countDown();
                      }
                    }),
            FIRST_FRAME_TIMEOUT_MILLIS);
    reactor.submit(server::start).get();
    try (Socket socket =
        new Socket(InetAddress.getLoopbackAddress(), server.boundAddress().getPort())) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      assertThat(socket.getInputStream().read()).isEqualTo(-1);
      closed.await();
    } finally {
      reactor.submit(server::stop).get();
      reactor.keepAlive(false);
      reactor.execute(reactor::breakEventloop);
      thread.join();
    }
  }
}
