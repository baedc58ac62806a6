import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A target beside one daemon: sends heartbeats there and answers requests. */
final class Target implements AutoCloseable {

  /** Answers one request whose body has been read. */
  interface Handler {
    /** Returns false if the connection must be closed afterwards. */
    boolean answer(Http.Head request, byte[] body, OutputStream out) throws Exception;
  }

  private final Fleet fleet;
  private final String ip;
  private final String id;
  private final String service;
  private final int slots;
  private final Handler handler;
  private final ServerSocket listener;
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final long born = System.currentTimeMillis();
  private volatile boolean closed;

  Target(Fleet fleet, int sidecar, String id, String service, int slots, Handler handler)
      throws IOException {
    this.fleet = fleet;
    this.ip = fleet.sidecarAddress(sidecar);
    this.id = id;
    this.service = service;
    this.slots = slots;
    this.handler = handler;
    this.listener = new ServerSocket(fleet.targetPort(), 200, InetAddress.getByName(ip));
    daemonThread(this::accept);
    daemonThread(this::beat);
  }

  static void daemonThread(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns how often each request id has run here. */
  Map<String, AtomicInteger> runs() {
    return runs;
  }

  /** Sends a whole answer in the form of the pages. */
  static void respond(OutputStream out, Http.Head request, int status, byte[] body)
      throws IOException {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("X-Request-Id", request.header("x-request-id"));
    headers.put("X-Response-Signature", "3e1b.07.5a2." + body.length);
    Http.send(out, "HTTP/1.1 " + status + " OK", headers, body);
  }

  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        daemonThread(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      boolean open = true;
      while (open) {
        Http.Head request = Http.readHead(in);
        if (request == null) {
          return;
        }
        byte[] body = Http.readBody(in, request);
        String intended = request.header("x-intended-instance");
        if (intended != null && !intended.equals(id)) {
          Http.send(
              socket.getOutputStream(),
              "HTTP/1.1 421 Misdirected",
              Map.of("X-Not-Executed", "1"),
              new byte[0]);
          continue;
        }
        runs.computeIfAbsent(request.header("x-request-id"), k -> new AtomicInteger())
            .incrementAndGet();
        open = handler.answer(request, body, socket.getOutputStream());
      }
    } catch (Exception e) {
      // The daemon closed the connection.
    }
  }

  private void beat() {
    for (long sequence = 1; !closed; sequence++) {
      String body =
          String.format(
              "{\"address\":\"%s:%d\",\"born\":%d,\"info\":{\"service\":\"%s\",\"version\":\"v1\","
                  + "\"zone\":\"zone-a\",\"slots\":%d},\"status\":{\"state\":\"ready\","
                  + "\"sequence\":%d,\"cold_remaining\":\"0ms\"}}",
              ip, fleet.targetPort(), born, service, slots, sequence);
      try {
        Http.call(
            ip,
            fleet.controlPort(),
            "POST /api/rpc?call=instances.heartbeat&of=" + id + " HTTP/1.1",
            Map.of("Content-Type", "application/json"),
            body.getBytes(StandardCharsets.UTF_8),
            1_000);
        Thread.sleep(1_500);
      } catch (IOException e) {
        sleep(300);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
