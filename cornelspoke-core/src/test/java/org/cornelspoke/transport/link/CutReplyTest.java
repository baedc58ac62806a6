package org.cornelspoke.transport.link;

import static com.google.common.truth.Truth.assertWithMessage;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.protocol.call.CallCodec;
import org.cornelspoke.protocol.call.CallHead;
import org.cornelspoke.protocol.call.CallMessage;
import org.cornelspoke.protocol.call.CallResult;
import org.cornelspoke.protocol.call.Headers;
import org.cornelspoke.protocol.call.MessageBody;
import org.cornelspoke.protocol.call.ReplyMetadata;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Ends a link after each byte of a reply. */
final class CutReplyTest {

  private final Eventloop reactor = Eventloop.create();
  private final CallCodec codec = new CallCodec();

  /** Guards against a reply that counts as whole although the peer ended in the middle of it. */
  @Test
  @Timeout(120)
  void cutReplyMayHaveRun() throws Exception {
    reactor.keepAlive(true);
    Thread thread = new Thread(reactor, "reactor");
    thread.setDaemon(true);
    thread.start();
    byte[] reply =
        frames(
            new CallMessage.Reply(
                1, 200, Headers.EMPTY, 0, 0, GateLoad.IDLE, ReplyMetadata.NONE, 4, new byte[2]),
            new CallMessage.ReplyChunk(1, new byte[2]),
            new CallMessage.ReplyEnd(1));
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      for (boolean reset : new boolean[] {false, true}) {
        for (int length = 0; length < reply.length; length++) {
          assertWithMessage("%s bytes, reset %s", length, reset)
              .that(resultOf(server, Arrays.copyOf(reply, length), reset))
              .isEqualTo(new CallResult.Failed(RefusalReason.LINK_FAILED));
        }
      }
      assertWithMessage("whole reply")
          .that(resultOf(server, reply, false))
          .isInstanceOf(CallResult.Responded.class);
    }
    reactor.execute(reactor::breakEventloop);
  }

  private CallResult resultOf(ServerSocket server, byte[] reply, boolean reset) throws Exception {
    Endpoint peer = new Endpoint("127.0.0.1", server.getLocalPort());
    PeerLink link =
        new PeerLink(reactor, peer, "client", codec, new Random(3), new MetricRegistry());
    CompletableFuture<CallResult> result = new CompletableFuture<>();
    reactor.execute(link::start);
    try (Socket socket = server.accept()) {
      DataInputStream in = new DataInputStream(socket.getInputStream());
      readFrame(in);
      socket.getOutputStream().write(frames(CallMessage.Hello.of("server")));
      reactor.execute(() -> callWhenReady(link, result));
      readFrame(in);
      socket.getOutputStream().write(reply);
      socket.setSoLinger(reset, 0);
    }
    CallResult ended = result.get(20, TimeUnit.SECONDS);
    reactor.execute(link::abort);
    return ended;
  }

  private void callWhenReady(PeerLink link, CompletableFuture<CallResult> result) {
    if (link.isReady()) {
      link.call(head(), MessageBody.of(new byte[1]), outcome -> result.complete(outcome.result()));
    } else {
      reactor.delay(1, () -> callWhenReady(link, result));
    }
  }

  private byte[] frames(CallMessage... messages) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    for (CallMessage message : messages) {
      byte[] frame = codec.encode(message);
      out.writeInt(frame.length);
      out.write(frame);
    }
    return bytes.toByteArray();
  }

  private static void readFrame(DataInputStream in) throws IOException {
    in.readFully(new byte[in.readInt()]);
  }

  private static CallHead head() {
    return new CallHead(
        new ServiceName("svc"),
        "GET",
        "/",
        new AccountId("farm"),
        1,
        TrafficClass.BULK,
        Revision.NONE,
        1_000,
        0,
        Headers.EMPTY);
  }
}
