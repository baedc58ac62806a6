package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that keep their connections: each sends its next request after the last answer. */
public final class KeptLoad implements AutoCloseable {

  private final Lab lab;
  private final Lab.Machine edge;
  private final String route;
  private final String body;

  /** Requests whose connection ended without an answer, although the client had not left. */
  public final Set<String> unanswered = ConcurrentHashMap.newKeySet();

  public final AtomicInteger sent = new AtomicInteger();
  public final AtomicInteger succeeded = new AtomicInteger();
  private volatile boolean closed;

  public KeptLoad(Lab lab, Lab.Machine edge, String route, String body) {
    this.lab = lab;
    this.edge = edge;
    this.route = route;
    this.body = body;
  }

  public KeptLoad start(int clients) {
    for (int i = 0; i < clients; i++) {
      Target.daemonThread(this::run);
    }
    return this;
  }

  private void run() {
    while (!closed) {
      try (Socket socket = Lab.connect(edge.ip, lab.outboundPort(), 1_000)) {
        socket.setSoTimeout(7_000);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        boolean open = true;
        while (open && !closed) {
          open = exchange(socket, in);
        }
      } catch (IOException e) {
        pause();
      }
    }
  }

  private boolean exchange(Socket socket, InputStream in) throws IOException {
    String id = "k" + sent.incrementAndGet();
    lab.log("sent", id + " POST");
    String head =
        "POST /" + route + "/" + id + " HTTP/1.1\r\nHost: " + route + ".example\r\nX-Request-Id: "
            + id + "\r\nX-Timeout-Ms: 5000\r\nAuthorization: Token " + Config.KEY
            + "\r\nContent-Length: " + body.length() + "\r\n\r\n";
    try {
      socket.getOutputStream().write(Lab.latin1(head + body));
      Http.Answer answer = Http.readAnswer(in);
      lab.log("answered", id + " " + answer.status);
      if (answer.status == 200) {
        succeeded.incrementAndGet();
      } else {
        pause();
      }
      return !"close".equalsIgnoreCase(answer.message.header("connection"));
    } catch (IOException e) {
      unanswered.add(id);
      lab.log("answered", id + " connection ended: " + e.getMessage());
      throw e;
    }
  }

  private static void pause() {
    try {
      Thread.sleep(100);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    closed = true;
  }
}
