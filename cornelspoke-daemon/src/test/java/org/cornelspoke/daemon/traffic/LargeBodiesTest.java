package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against callers whose bodies use up the memory of a daemon, in a process of its own. */
@Timeout(120)
class LargeBodiesTest {

  private static final int MIB = 1 << 20;
  private static final int HEAP_MIB = 64;
  private static final int MAX_BODY_BYTES = 24 * MIB;
  private static final int MAX_RESIDENT_KIB = 256 << 10;
  private static final int MAX_DESCRIPTORS = 300;

  private static final int CROWD = 6;
  private static final int BODY_BYTES = 18 * MIB;
  private static final int MISSING_BYTES = 64 << 10;

  private Process process;
  private InetSocketAddress edge;
  private StandInUpstream upstream;
  private final CountDownLatch upstreamMayRespond = new CountDownLatch(1);
  private final List<Socket> sockets = new ArrayList<>();

  /** Writes one request; throws if the daemon closes the connection. */
  private interface Sender {
    void send(OutputStream out) throws IOException;
  }

  @BeforeEach
  void start() throws Exception {
    upstream = new StandInUpstream(this::serve);
    process =
        new ProcessBuilder(
                System.getProperty("java.home") + File.separator + "bin" + File.separator + "java",
                "-Xmx" + HEAP_MIB + "m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                // The event loops of a daemon end its process after an error.
                "-XX:+ExitOnOutOfMemoryError",
                "-cp",
                System.getProperty("java.class.path"),
                SmallHeapMain.class.getName(),
                Integer.toString(MAX_BODY_BYTES))
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    BufferedReader output =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    String line = output.readLine();
    while (!line.startsWith(SmallHeapMain.ANSWER_PREFIX)) {
      line = output.readLine();
    }
    String[] ports = line.substring(SmallHeapMain.ANSWER_PREFIX.length()).split(" ", -1);
    StandInUpstream.daemonThread(() -> output.lines().forEach(ignored -> {}));
    edge = loopback(Integer.parseInt(ports[0]));
    String announcement =
        "{\"service\":\"svc\",\"address\":\"%s\",\"slots\":100}".formatted(upstream.address());
    assertThat(
            RawClient.once(
                    loopback(Integer.parseInt(ports[1])),
                    RawClient.request("POST", "/v1/announce", announcement))
                .status())
        .isEqualTo(204);
    assertOrdinaryRequestIsServed();
  }

  @AfterEach
  void stop() throws Exception {
    upstreamMayRespond.countDown();
    for (Socket socket : sockets) {
      socket.close();
    }
    process.getOutputStream().close();
    process.destroy();
    process.waitFor();
    upstream.close();
  }

  @Test
  void bodyOfTheMaximumSizeIsServedInCalm() throws Exception {
    try (Socket socket = connect()) {
      sendWithLength(socket.getOutputStream(), MAX_BODY_BYTES, MAX_BODY_BYTES);
      assertThat(StandInUpstream.readHead(socket.getInputStream())).startsWith("HTTP/1.1 200");
    }
    assertDaemonIsSound();
  }

  @Test
  void bodiesThatStopShortOfTheirLengthLeaveMemoryForOthers() throws Exception {
    sendAtOnce(CROWD, out -> sendWithLength(out, BODY_BYTES, BODY_BYTES - MISSING_BYTES));
    assertDaemonIsSound();
  }

  @Test
  void largeChunksWithoutEndLeaveMemoryForOthers() throws Exception {
    sendAtOnce(CROWD, out -> sendChunks(out, MIB, BODY_BYTES / MIB));
    assertDaemonIsSound();
  }

  @Test
  void smallChunksWithoutEndLeaveMemoryForOthers() throws Exception {
    sendAtOnce(CROWD, out -> sendChunks(out, 1, 2_000_000));
    assertDaemonIsSound();
  }

  @Test
  void completeBodiesLeaveMemoryForOthers() throws Exception {
    sendAtOnce(CROWD, out -> sendWithLength(out, BODY_BYTES, BODY_BYTES));
    assertDaemonIsSound();
  }

  @Test
  void bodiesFarOverTheLimitLeaveMemoryForOthers() throws Exception {
    sendAtOnce(CROWD, out -> sendWithLength(out, 1L << 31, 4 * MIB));
    sendAtOnce(CROWD, out -> sendChunks(out, MIB, 4 * MAX_BODY_BYTES / MIB));
    assertDaemonIsSound();
  }

  /** The crowd's requests wait at the upstream, ordinary ones are answered at once. */
  private void serve(String head, byte[] body, Socket socket) throws Exception {
    if (body.length == BODY_BYTES) {
      upstreamMayRespond.await();
    }
    StandInUpstream.respond(socket, 200, "ok");
  }

  private void assertDaemonIsSound() throws Exception {
    assertThat(process.isAlive()).isTrue();
    assertOrdinaryRequestIsServed();
    assertThat(residentKib()).isAtMost(MAX_RESIDENT_KIB);
    String[] descriptors = Path.of("/proc/" + process.pid() + "/fd").toFile().list();
    assertThat(descriptors.length).isAtMost(MAX_DESCRIPTORS);
  }

  private void assertOrdinaryRequestIsServed() throws IOException {
    assertThat(RawClient.once(edge, RawClient.request("POST", "/open", "body")).status())
        .isEqualTo(200);
  }

  private int residentKib() throws IOException {
    return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
        .filter(line -> line.startsWith("VmRSS:"))
        .map(line -> line.replaceAll("[^0-9]", ""))
        .mapToInt(Integer::parseInt)
        .findFirst()
        .orElseThrow();
  }

  /** Sends on several connections at once and leaves them open. */
  private void sendAtOnce(int count, Sender sender) throws Exception {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Socket socket = connect();
      Thread thread =
          new Thread(
              () -> {
                try {
                  sender.send(socket.getOutputStream());
                } catch (IOException e) {
                  // The daemon has refused the request and closed the connection.
                }
              });
      threads.add(thread);
      thread.start();
    }
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket();
    socket.connect(edge);
    sockets.add(socket);
    return socket;
  }

  private static void sendWithLength(OutputStream out, long length, int sentBytes)
      throws IOException {
    out.write(head("Content-Length: " + length));
    byte[] block = new byte[MIB];
    for (int sent = 0; sent < sentBytes; sent += block.length) {
      out.write(block, 0, Math.min(block.length, sentBytes - sent));
    }
    out.flush();
  }

  private static void sendChunks(OutputStream out, int chunkBytes, int count) throws IOException {
    out.write(head("Transfer-Encoding: chunked"));
    byte[] chunk =
        (Integer.toHexString(chunkBytes) + "\r\n" + "x".repeat(chunkBytes) + "\r\n")
            .getBytes(ISO_8859_1);
    int chunksPerWrite = Math.max(1, MIB / chunk.length);
    byte[] block = new byte[chunk.length * chunksPerWrite];
    for (int i = 0; i < chunksPerWrite; i++) {
      System.arraycopy(chunk, 0, block, i * chunk.length, chunk.length);
    }
    for (int sent = 0; sent < count; sent += chunksPerWrite) {
      out.write(block, 0, Math.min(chunksPerWrite, count - sent) * chunk.length);
    }
    out.flush();
  }

  private static byte[] head(String header) {
    return ("POST /open HTTP/1.1\r\nHost: test\r\n" + header + "\r\n\r\n").getBytes(ISO_8859_1);
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }
}
