package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.cornelspoke.daemon.traffic.RawClient.request;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.cornelspoke.daemon.traffic.RawClient.Response;
import org.cornelspoke.transport.http.ConnectionLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class LimitedDescriptorsTest {

  private static final int DESCRIPTORS = 300;

  /** Longer than the time after which a server closes idle connections to make room. */
  private static final long IDLE_MILLIS = 200;

  private Process process;
  private BufferedReader output;
  private InetSocketAddress edge;
  private final List<RawClient> clients = new ArrayList<>();

  @BeforeEach
  void start() throws IOException {
    String java =
        System.getProperty("java.home") + File.separator + "bin" + File.separator + "java";
    process =
        new ProcessBuilder(
                "bash",
                "-c",
                "ulimit -n " + DESCRIPTORS + " && exec \"$0\" \"$@\"",
                java,
                "-cp",
                System.getProperty("java.class.path"),
                LimitedDescriptorsMain.class.getName())
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    output =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    edge = new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(readAnswer()));
  }

  @AfterEach
  void stop() throws Exception {
    for (RawClient client : clients) {
      client.close();
    }
    process.getOutputStream().close();
    process.destroy();
    process.waitFor();
  }

  @Test
  void newConnectionsAreServedWhileIdleOnesUseTheDescriptors() throws Exception {
    for (int batch = 0; batch < 6; batch++) {
      for (int i = 0; i < DESCRIPTORS / 3; i++) {
        assertThat(connect().call(request("GET", "/open", "")).status()).isEqualTo(200);
      }
      Thread.sleep(IDLE_MILLIS);
    }
  }

  @Test
  void newConnectionsAreRefusedWhileRequestsUseTheDescriptors() throws Exception {
    int maxConnections = ConnectionLimits.ofDescriptors(DESCRIPTORS).maxConnections();
    for (int i = 0; i < maxConnections + DESCRIPTORS / 20; i++) {
      connect().send("POST /open HTTP/1.1\r\nHost: test\r\nContent-Length: 2\r\n\r\n");
    }
    Response refusal = RawClient.once(edge, request("GET", "/open", ""));
    while (refusal.status() == 200) {
      refusal = RawClient.once(edge, request("GET", "/open", ""));
    }
    assertThat(refusal.reason()).isEqualTo("overload");
    assertThat(refusal.verdict()).isEqualTo("not-run");
  }

  @Test
  void connectionsAreAcceptedOnceDescriptorsAreFreeAgain() throws Exception {
    assertThat(RawClient.once(edge, request("GET", "/open", "")).status()).isEqualTo(200);
    assertThat(command("exhaust")).isEqualTo("exhausted");
    RawClient client = connect();
    client.send(request("GET", "/open", ""));
    Thread.sleep(500);
    int pauses = Integer.parseInt(command("release"));
    assertThat(pauses).isAtLeast(1);
    assertThat(client.read().status()).isEqualTo(200);
  }

  @Test
  void stoppedDaemonNoLongerListensAlthoughNoDescriptorWasLeft() throws Exception {
    assertThat(RawClient.once(edge, request("GET", "/open", "")).status()).isEqualTo(200);
    assertThat(command("exhaust")).isEqualTo("exhausted");
    assertThat(command("stop")).isEqualTo("stopped");
    assertThrows(ConnectException.class, this::connect);
  }

  private RawClient connect() throws IOException {
    RawClient client = new RawClient(edge);
    clients.add(client);
    return client;
  }

  private String command(String command) throws IOException {
    process.getOutputStream().write((command + "\n").getBytes(StandardCharsets.UTF_8));
    process.getOutputStream().flush();
    return readAnswer();
  }

  private String readAnswer() throws IOException {
    String line = output.readLine();
    while (!line.startsWith(LimitedDescriptorsMain.ANSWER_PREFIX)) {
      line = output.readLine();
    }
    return line.substring(LimitedDescriptorsMain.ANSWER_PREFIX.length());
  }
}
