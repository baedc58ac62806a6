package org.cornelspoke.transport.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import com.codahale.metrics.MetricRegistry;
import io.activej.dns.DnsClient;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.protocol.call.CallResult;
import org.cornelspoke.protocol.call.Headers;
import org.cornelspoke.protocol.call.MessageBody;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class UpstreamPoolTest {

  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final String STALE_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale";

  private final Eventloop reactor = Eventloop.create();
  private final MetricRegistry metrics = new MetricRegistry();
  private final LinkedBlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();
  private ServerSocket server;
  private final ResponseMemory responseMemory = new ResponseMemory(metrics);
  private UpstreamPool pool;

  @BeforeEach
  void start() throws Exception {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    daemonThread(
        () -> {
          try {
            while (true) {
              accepted.add(server.accept());
            }
          } catch (IOException e) {
            // The server socket was closed.
          }
        });
    pool = newPool(server.getLocalPort());
    reactor.keepAlive(true);
    daemonThread(reactor);
  }

  @AfterEach
  void stop() throws Exception {
    reactor.execute(reactor::breakEventloop);
    server.close();
  }

  /**
   * Reproduces the fault of the HTTP library that is the reason for a separate connection pool
   * here: surplus bytes on a pooled connection are returned as the response to the next request.
   */
  @Test
  void httpLibraryReturnsSurplusBytesToNextRequest() throws Exception {
    HttpClient client =
        onReactor(
            () ->
                HttpClient.builder(
                        reactor, DnsClient.create(reactor, InetAddress.getLoopbackAddress()))
                    .withKeepAliveTimeout(Duration.ofSeconds(10))
                    .build());
    CompletableFuture<String> first = libraryRequest(client);
    Socket socket = accepted.take();
    readRequest(socket);
    write(socket, OK + "ok" + STALE_RESPONSE);
    assertThat(first.get()).isEqualTo("ok");
    // The server does not respond to this request; it gets the surplus of the first response.
    CompletableFuture<String> second = libraryRequest(client);
    assertThat(second.get(10, TimeUnit.SECONDS)).isEqualTo("stale");
  }

  /** Guards against surplus bytes that are returned as the response to the next request. */
  @Test
  void surplusDataClosesConnection() throws Exception {
    CompletableFuture<CallResult> first = send("GET");
    Socket socket = accepted.take();
    readRequest(socket);
    write(socket, OK + "ok" + STALE_RESPONSE);
    assertThat(bodyOf(first)).isEqualTo("ok");
    assertThat(socket.getInputStream().read()).isEqualTo(-1);
    assertThat(metrics.counter("upstream.surplus-closes").getCount()).isEqualTo(1);
    assertNextRequestUsesNewConnection(accepted);
  }

  /** Guards against surplus bytes that arrive after the connection was returned to the pool. */
  @Test
  void dataOnIdleConnectionClosesConnection() throws Exception {
    CompletableFuture<CallResult> first = send("GET");
    Socket socket = accepted.take();
    readRequest(socket);
    write(socket, OK + "ok");
    assertThat(bodyOf(first)).isEqualTo("ok");
    write(socket, STALE_RESPONSE);
    assertThat(socket.getInputStream().read()).isEqualTo(-1);
    assertThat(metrics.counter("upstream.idle-data-closes").getCount()).isEqualTo(1);
    assertNextRequestUsesNewConnection(accepted);
  }

  /** Guards against surplus bytes that have arrived but are unread when a connection is reused. */
  @Test
  void unreadDataIsDetectedBeforeReuse() throws Exception {
    CompletableFuture<CallResult> first = send("GET");
    Socket socket = accepted.take();
    readRequest(socket);
    write(socket, OK + "ok");
    assertThat(bodyOf(first)).isEqualTo("ok");
    CompletableFuture<CallResult> second = new CompletableFuture<>();
    reactor
        .submit(
            () -> {
              // This task blocks the event loop, so the surplus is still unread.
              write(socket, STALE_RESPONSE);
              Thread.sleep(50);
              pool.send(request("GET"), second::complete);
            })
        .get();
    Socket next = accepted.take();
    readRequest(next);
    write(next, OK + "no");
    assertThat(bodyOf(second)).isEqualTo("no");
  }

  /** Guards against truncated, malformed or unterminated responses that count as complete. */
  @Test
  void incompleteResponsesMayHaveRun() throws Exception {
    for (String response :
        List.of(
            "",
            "HTTP/1.1 200 OK\r\nContent-Le",
            "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n123",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
            "HTTP/1.1 200 OK\r\n\r\nno length",
            "HTTP/1.1 20 OK\r\n\r\n",
            "garbage\r\n\r\n")) {
      CompletableFuture<CallResult> result = send("POST");
      Socket socket = accepted.take();
      readRequest(socket);
      write(socket, response);
      socket.shutdownOutput();
      assertThat(result.get()).isEqualTo(new CallResult.Failed(RefusalReason.UPSTREAM_FAILED));
    }
  }

  /** Guards against a retry of a request that may have been sent on a reused connection. */
  @Test
  void closeOfReusedConnectionMayHaveRun() throws Exception {
    CompletableFuture<CallResult> first = send("POST");
    Socket socket = accepted.take();
    readRequest(socket);
    write(socket, OK + "ok");
    assertThat(bodyOf(first)).isEqualTo("ok");
    CompletableFuture<CallResult> second = send("POST");
    readRequest(socket);
    socket.close();
    assertThat(second.get()).isEqualTo(new CallResult.Failed(RefusalReason.UPSTREAM_FAILED));
  }

  /** Guards against requests that provably did not run but are reported as unknown outcomes. */
  @Test
  void connectionRefusedAndShedAreNotRun() throws Exception {
    CompletableFuture<CallResult> shed = send("POST");
    Socket socket = accepted.take();
    readRequest(socket);
    write(
        socket,
        "HTTP/1.1 503 X\r\nCornelspoke-Shed: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n");
    assertThat(shed.get()).isEqualTo(new CallResult.Refused(RefusalReason.SHED, 3_000));
    try (Socket bound = new Socket()) {
      // Bound without listening, so that no other process can take the port and accept.
      bound.bind(new Endpoint("127.0.0.1", 0).toSocketAddress());
      int closedPort = bound.getLocalPort();
      CompletableFuture<CallResult> refused = new CompletableFuture<>();
      reactor.execute(() -> newPool(closedPort).send(request("POST"), refused::complete));
      assertThat(refused.get()).isEqualTo(new CallResult.Refused(RefusalReason.NO_TARGET, 0));
    }
  }

  /** Guards against a late response to a cancelled exchange that reaches the next request. */
  @Test
  void cancelClosesConnection() throws Exception {
    List<CallResult> results = new ArrayList<>();
    UpstreamExchange exchange = onReactor(() -> pool.send(request("POST"), results::add));
    Socket socket = accepted.take();
    readRequest(socket);
    boolean notExecuted = onReactor(exchange::cancel);
    assertThat(notExecuted).isFalse();
    assertThat(socket.getInputStream().read()).isEqualTo(-1);
    assertNextRequestUsesNewConnection(accepted);
    assertThat(results).isEmpty();
  }

  /** Guards against interim, bodyless or close-delimited responses with a wrong body length. */
  @Test
  void interimBodylessAndCloseDelimitedResponsesAreDelimited() throws Exception {
    CompletableFuture<CallResult> head = send("HEAD");
    Socket socket = accepted.take();
    readRequest(socket);
    write(socket, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
    CallResult.Responded headResponse = (CallResult.Responded) head.get();
    assertThat(headResponse.headers().get("content-length")).isEqualTo("9");
    CompletableFuture<CallResult> untilClose = send("GET");
    readRequest(socket);
    write(socket, "HTTP/1.0 200 OK\r\nCornelspoke-Verdict: not-run\r\n\r\nall of it");
    socket.shutdownOutput();
    assertThat(bodyOf(untilClose)).isEqualTo("all of it");
    CallResult.Responded closeDelimited = (CallResult.Responded) untilClose.get();
    assertThat(closeDelimited.headers().size()).isEqualTo(0);
  }

  /** Guards against an upstream whose endless response occupies memory until the deadline. */
  @Test
  void endlessResponsesAreAborted() throws Exception {
    String head = "HTTP/1.1 200 OK\r\n";
    String chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    String interim = "HTTP/1.1 100 Continue\r\n\r\n";
    for (String[] response :
        new String[][] {
          {"endless status line", "HTTP/1.1 200 ", "a"},
          {"endless header line", head + "X: ", "a"},
          {"endless headers", head, "X: a\r\n"},
          {"endless interim responses", interim, interim},
          {"endless chunk size", chunked, "0"},
          {"endless chunk extension", chunked + "1;", "a"},
          {"endless chunks", chunked, "4\r\naaaa\r\n"},
          {"endless trailer", chunked + "0\r\n", "X: a\r\n"},
          {"endless body without length", head + "Connection: close\r\n\r\n", "a"},
        }) {
      CompletableFuture<CallResult> result = send("POST");
      Socket socket = accepted.take();
      readRequest(socket);
      CompletableFuture<Void> closed = writeEndlessly(socket, response[1], response[2]);
      assertWithMessage(response[0])
          .that(result.get())
          .isEqualTo(new CallResult.Failed(RefusalReason.UPSTREAM_FAILED));
      closed.get(20, TimeUnit.SECONDS);
    }
  }

  /** Guards against endless surplus bytes after a complete response on a persistent connection. */
  @Test
  void endlessSurplusClosesConnection() throws Exception {
    CompletableFuture<CallResult> result = send("GET");
    Socket socket = accepted.take();
    readRequest(socket);
    CompletableFuture<Void> closed = writeEndlessly(socket, OK + "ok", "surplus");
    assertThat(bodyOf(result)).isEqualTo("ok");
    closed.get(20, TimeUnit.SECONDS);
    assertNextRequestUsesNewConnection(accepted);
  }

  /** Guards against many incomplete bodies that together exhaust the memory of the daemon. */
  @Test
  @Timeout(60)
  void memoryOfIncompleteBodiesIsBounded() throws Exception {
    onReactor(
        () -> {
          responseMemory.setMaxBytes(4 * MAX_BODY_BYTES);
          return null;
        });
    List<CompletableFuture<CallResult>> results = new ArrayList<>();
    List<CompletableFuture<Void>> writers = new ArrayList<>();
    // Keeps the sockets reachable: garbage collection would close a socket and so end its body.
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      results.add(send("GET"));
      Socket socket = accepted.take();
      readRequest(socket);
      sockets.add(socket);
      // Each body is half of the size limit; all bodies together are 50 times the limit.
      writers.add(
          CompletableFuture.runAsync(
              () -> writeIncompleteBody(socket, MAX_BODY_BYTES / 2),
              runnable -> daemonThread(runnable)));
    }
    CompletableFuture.allOf(writers.toArray(CompletableFuture[]::new)).get(20, TimeUnit.SECONDS);

    assertNextRequestUsesNewConnection(accepted);
    // Memory suffices for four bodies; data in kernel buffers still has to arrive.
    while (failedAndAbortedCounts(results)[0] < results.size() - 4) {
      Thread.sleep(10);
    }
    long[] counts = failedAndAbortedCounts(results);
    assertThat(counts[1]).isEqualTo(counts[0]);
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** Guards against several faulty upstreams of a daemon that each use the memory for one. */
  @Test
  @Timeout(60)
  void memoryOfIncompleteBodiesIsSharedByAllUpstreams() throws Exception {
    onReactor(
        () -> {
          responseMemory.setMaxBytes(2 * MAX_BODY_BYTES);
          return null;
        });
    UpstreamPool first = pool;
    List<CompletableFuture<CallResult>> results = new ArrayList<>();
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      pool = i % 2 == 0 ? first : newPool(server.getLocalPort());
      results.add(send("GET"));
      Socket socket = accepted.take();
      readRequest(socket);
      sockets.add(socket);
      daemonThread(() -> writeIncompleteBody(socket, MAX_BODY_BYTES / 2));
    }
    while (failedAndAbortedCounts(results)[0] < results.size() - 4) {
      Thread.sleep(10);
    }
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** Returns the number of failed exchanges and of aborted responses, read at the same time. */
  private long[] failedAndAbortedCounts(List<CompletableFuture<CallResult>> results)
      throws Exception {
    return onReactor(
        () ->
            new long[] {
              results.stream().filter(CompletableFuture::isDone).count(),
              metrics.counter("upstream.answers-given-up").getCount()
            });
  }

  /** Sends an incomplete body; stops early if the caller closes the connection. */
  private static void writeIncompleteBody(Socket socket, int bytes) {
    try {
      write(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + "a".repeat(bytes));
    } catch (IOException e) {
      // The caller has closed the connection.
    }
  }

  /** Writes until the caller closes the connection. */
  private static CompletableFuture<Void> writeEndlessly(
      Socket socket, String prefix, String repeated) {
    CompletableFuture<Void> closed = new CompletableFuture<>();
    daemonThread(
        () -> {
          try {
            write(socket, prefix);
            while (true) {
              write(socket, repeated.repeat(1_000));
            }
          } catch (IOException e) {
            closed.complete(null);
          }
        });
    return closed;
  }

  private void assertNextRequestUsesNewConnection(LinkedBlockingQueue<Socket> sockets)
      throws Exception {
    CompletableFuture<CallResult> next = send("GET");
    Socket socket = sockets.take();
    readRequest(socket);
    write(socket, OK + "no");
    assertThat(bodyOf(next)).isEqualTo("no");
  }

  private <T> T onReactor(Callable<T> task) throws Exception {
    CompletableFuture<T> result = new CompletableFuture<>();
    reactor.execute(
        () -> {
          try {
            result.complete(task.call());
          } catch (Exception e) {
            result.completeExceptionally(e);
          }
        });
    return result.get();
  }

  private UpstreamPool newPool(int port) {
    // No spare connections, so that the order of accepted sockets is deterministic.
    return new UpstreamPool(
        reactor,
        new Endpoint("127.0.0.1", port),
        MAX_BODY_BYTES,
        0,
        new DefaultResponsePolicy(),
        responseMemory,
        metrics);
  }

  private CompletableFuture<CallResult> send(String method) {
    CompletableFuture<CallResult> result = new CompletableFuture<>();
    reactor.execute(() -> pool.send(request(method), result::complete));
    return result.orTimeout(20, TimeUnit.SECONDS);
  }

  private CompletableFuture<String> libraryRequest(HttpClient client) {
    String url = "http://127.0.0.1:" + server.getLocalPort() + "/";
    return reactor.submit(
        () ->
            client
                .request(HttpRequest.get(url).build())
                .then(response -> response.loadBody())
                .map(body -> body.getString(ISO_8859_1)));
  }

  private static UpstreamRequest request(String method) {
    Headers host = new Headers.Builder().add("Host", "a").build();
    return new UpstreamRequest(method, "/", host, Headers.EMPTY, MessageBody.EMPTY);
  }

  private static String bodyOf(CompletableFuture<CallResult> result) throws Exception {
    return new String(((CallResult.Responded) result.get()).body(), ISO_8859_1);
  }

  private static void readRequest(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    int tail = 0;
    while (tail != 0x0d0a0d0a) {
      int b = in.read();
      if (b < 0) {
        throw new IOException("no request");
      }
      tail = tail << 8 | b;
    }
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(ISO_8859_1));
    socket.getOutputStream().flush();
  }

  private static void daemonThread(Runnable task) {
    Thread thread = new Thread(task, "test");
    thread.setDaemon(true);
    thread.start();
  }
}
