package org.cornelspoke.transport.http;

import static com.google.common.truth.Truth.assertThat;

import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.protocol.call.MessageBody;
import org.junit.jupiter.api.Test;

class BodyWriterTest {

  private static final byte[] HEAD = {'h', 'e', 'a', 'd'};

  /** Guards against parts that are written recursively and overflow the stack. */
  @Test
  void bodyOfManySegmentsIsWrittenInOrder() throws Exception {
    Random random = new Random(1);
    List<byte[]> segments = new ArrayList<>();
    for (int i = 0; i < 50_000; i++) {
      byte[] segment = new byte[1 + random.nextInt(200)];
      random.nextBytes(segment);
      segments.add(segment);
    }
    MessageBody body = MessageBody.ofSegments(segments);
    byte[] received = send(body);
    assertThat(received.length).isEqualTo(HEAD.length + body.sizeBytes());
    assertThat(Arrays.equals(Arrays.copyOfRange(received, 4, received.length), body.toByteArray()))
        .isTrue();
  }

  @Test
  void segmentsLargerThanAPartAreWrittenWhole() throws Exception {
    byte[] segment = new byte[3_000_000];
    new Random(2).nextBytes(segment);
    byte[] received = send(MessageBody.of(segment));
    assertThat(Arrays.equals(Arrays.copyOfRange(received, 4, received.length), segment)).isTrue();
  }

  private static byte[] send(MessageBody body) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CompletableFuture<byte[]> received = new CompletableFuture<>();
      Thread reader = new Thread(() -> readAll(server, received));
      reader.start();
      Eventloop loop = Eventloop.create();
      loop.post(
          () ->
              TcpSocket.connect(
                      loop, new InetSocketAddress(server.getInetAddress(), server.getLocalPort()))
                  .then(
                      socket ->
                          BodyWriter.write(
                                  socket, ByteBuf.wrapForReading(HEAD.clone()), body, bytes -> {})
                              .whenComplete(socket::close)));
      loop.run();
      return received.get(30, TimeUnit.SECONDS);
    }
  }

  private static void readAll(ServerSocket server, CompletableFuture<byte[]> received) {
    try (Socket socket = server.accept()) {
      received.complete(socket.getInputStream().readAllBytes());
    } catch (IOException e) {
      received.completeExceptionally(e);
    }
  }
}
