package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.cornelspoke.daemon.traffic.RawClient.request;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Random;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.protocol.call.CallCodec;
import org.cornelspoke.protocol.call.CallHead;
import org.cornelspoke.protocol.call.CallMessage;
import org.cornelspoke.protocol.call.Headers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class MalformedInputTest {

  private static final long SEED = 20261204;
  private static final int ROUNDS = 400;

  private static final String[] FRAGMENTS = {
    "GET",
    "POST",
    " ",
    "/open",
    "/../",
    "%2e",
    " HTTP/1.1",
    " HTTP/1.0",
    "\r\n",
    "\n",
    "\r",
    "\0",
    "Host: a",
    "Host : a",
    "Content-Length: 5",
    "Content-Length: 6",
    "Content-Length: -1",
    "Transfer-Encoding: chunked",
    "Transfer-Encoding: gzip",
    " folded",
    ":",
    "\r\n\r\n",
    "5\r\n",
    "hello",
    "0\r\n\r\n",
    "fffffffff\r\n",
    "X: " + "y".repeat(9_000),
    "\u00e9",
    "Expect: 100-continue",
    "Authorization: Bearer x",
    "Cornelspoke-Context: a.b",
    "Connection: close"
  };

  private final CallCodec codec = new CallCodec();
  private final TestFleet fleet = new TestFleet();

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  /** Guards against input that crashes, blocks or desynchronises a daemon on any of its ports. */
  @Test
  void noInputStopsTheDaemon() throws Exception {
    try (StandInUpstream upstream = StandInUpstream.answering("ok")) {
      TrafficDaemon daemon = fleet.startWith("a", "svc", upstream);
      Random random = new Random(SEED);
      String call = request("GET", "/open", "");
      for (int round = 0; round < ROUNDS; round++) {
        send(daemon.edgeAddress(), malformedHttp(random));
        send(daemon.localAddress(), malformedHttp(random));
        send(daemon.linkAddress(), malformedFrames(random));
        assertWithMessage("round " + round + " of seed " + SEED)
            .that(RawClient.once(daemon.edgeAddress(), call).body())
            .isEqualTo("ok");
      }
      for (String head : upstream.requestHeads) {
        assertThat(head).containsMatch("^[!-~]+ [!-~]+ HTTP/1\\.1\r\n");
        assertThat(head).doesNotContain("Transfer-Encoding");
      }
      TestFleet.await(() -> fleet.metrics.get("a").counter("edge.connections").getCount() <= 1);
    }
  }

  /** Guards against a refusal that leaves the connection open or is lost due to a reset. */
  @Test
  void malformedRequestIsAnsweredAndClosed() throws Exception {
    TrafficDaemon daemon = fleet.start("a");
    String[][] cases = {
      {
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nxx",
        "400"
      },
      {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", "501"},
      {"GET / HTTP/1.1\r\n\r\n", "400"},
      {"GET / HTTP/1.1\nHost: a\n\n", "400"},
      {"GET / HTTP/1.1\r\nHost: a\r\nX: " + "x".repeat(20_000) + "\r\n\r\n", "431"},
      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1048577\r\n\r\n" + "x".repeat(50_000), "413"},
      {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n100001\r\n", "413"}
    };
    for (String[] testCase : cases) {
      try (RawClient client = new RawClient(daemon.edgeAddress())) {
        RawClient.Response response = client.call(testCase[0]);
        assertWithMessage(testCase[0])
            .that(response.status())
            .isEqualTo(Integer.parseInt(testCase[1]));
        assertThat(response.verdict()).isEqualTo("not-run");
        assertThat(response.header("Connection")).isEqualTo("close");
        assertThat(client.isClosedByServer()).isTrue();
      }
    }
    assertThat(fleet.metrics.get("a").meter("edge.malformed").getCount()).isEqualTo(cases.length);
  }

  /** Guards against pipelined requests whose responses are lost, mixed up or out of order. */
  @Test
  void pipelinedRequestsAreAnsweredInOrder() throws Exception {
    try (StandInUpstream upstream =
        new StandInUpstream(
            (head, body, socket) ->
                StandInUpstream.respond(socket, 200, head.substring(4, head.indexOf(" HTTP"))))) {
      TrafficDaemon daemon = fleet.startWith("a", "svc", upstream);
      try (RawClient client = new RawClient(daemon.edgeAddress())) {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < 50; i++) {
          requests.append(request("GET", "/open/" + i, ""));
        }
        client.send(requests.toString());
        for (int i = 0; i < 50; i++) {
          assertThat(client.read().body()).isEqualTo("/open/" + i);
        }
      }
    }
  }

  private static byte[] malformedHttp(Random random) {
    StringBuilder text = new StringBuilder();
    if (random.nextBoolean()) {
      text.append("POST /open HTTP/1.1\r\nHost: a\r\n");
    }
    for (int fragments = 1 + random.nextInt(12); fragments > 0; fragments--) {
      text.append(FRAGMENTS[random.nextInt(FRAGMENTS.length)]);
      if (random.nextInt(3) == 0) {
        text.append("\r\n");
      }
    }
    // Truncates the body, because a complete and well-formed body would make the request valid.
    return text.toString().replace("\r\nhello", "\r\nhe").getBytes(ISO_8859_1);
  }

  /** Returns random bytes, or corrupted messages after a valid hello message. */
  private byte[] malformedFrames(Random random) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    if (random.nextInt(4) == 0) {
      byte[] noise = new byte[random.nextInt(200)];
      random.nextBytes(noise);
      bytes.writeBytes(noise);
      return bytes.toByteArray();
    }
    addFrame(bytes, codec.encode(CallMessage.Hello.of("x")), 0);
    for (int messages = random.nextInt(5); messages > 0; messages--) {
      byte[] message = codec.encode(message(random));
      for (int flips = random.nextInt(4); flips > 0; flips--) {
        message[random.nextInt(message.length)] = (byte) random.nextInt();
      }
      addFrame(bytes, message, random.nextInt(8) == 0 ? random.nextInt(9) - 4 : 0);
    }
    return bytes.toByteArray();
  }

  private static CallMessage message(Random random) {
    long id = random.nextInt(4);
    CallHead head =
        new CallHead(
            new ServiceName("svc"),
            "GET",
            "/open",
            new AccountId("farm"),
            1,
            TrafficClass.BULK,
            Revision.NONE,
            random.nextInt(5_000) - 10,
            random.nextInt(3),
            new Headers.Builder().add("Host", "a").build());
    return switch (random.nextInt(6)) {
      case 0, 1 -> new CallMessage.Call(id, head, random.nextInt(3), new byte[random.nextInt(3)]);
      case 2 -> new CallMessage.CallChunk(id, new byte[random.nextInt(3)]);
      case 3 -> new CallMessage.CallEnd(id);
      case 4 -> new CallMessage.Cancel(id);
      default -> new CallMessage.ReplyEnd(id);
    };
  }

  private static void addFrame(ByteArrayOutputStream bytes, byte[] content, int lengthError) {
    bytes.writeBytes(ByteBuffer.allocate(4).putInt(content.length + lengthError).array());
    bytes.writeBytes(content);
  }

  private static void send(InetSocketAddress address, byte[] bytes) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(address);
      socket.getOutputStream().write(bytes);
    } catch (IOException e) {
      // The daemon may close the connection while bytes are still being sent.
    }
  }
}
