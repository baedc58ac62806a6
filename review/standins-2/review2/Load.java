package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients of one machine: each sends one request on a new connection and records its end. */
public final class Load implements AutoCloseable {

  private final Lab lab;
  private final Lab.Machine edge;
  private final String route;
  private final String method;
  private final int timeoutMillis;
  private final String body;
  public final Map<String, String> ends = new ConcurrentHashMap<>();
  public final AtomicInteger sent = new AtomicInteger();
  private volatile boolean closed;

  public Load(
      Lab lab, Lab.Machine edge, String route, String method, int timeoutMillis, String body) {
    this.lab = lab;
    this.edge = edge;
    this.route = route;
    this.method = method;
    this.timeoutMillis = timeoutMillis;
    this.body = body;
  }

  /** Sends requests at a steady rate until it is closed. */
  public Load start(int perSecond) {
    Target.daemonThread(
        () -> {
          long next = System.nanoTime();
          while (!closed) {
            String id = "q" + edge.ip.substring(edge.ip.lastIndexOf('.') + 1) + "-" + sent.incrementAndGet();
            Target.daemonThread(() -> send(id));
            next += 1_000_000_000L / perSecond;
            try {
              Thread.sleep(Math.max(0, (next - System.nanoTime()) / 1_000_000));
            } catch (InterruptedException e) {
              return;
            }
          }
        });
    return this;
  }

  /** Sends one request and returns the status, or a text that tells how the connection ended. */
  public String send(String id) {
    lab.log("sent", id + " " + method + " at " + edge.ip);
    String end;
    try (Socket socket = Lab.connect(edge.ip, lab.outboundPort(), 1_000)) {
      socket.setSoTimeout(timeoutMillis + 2_000);
      String head =
          method + " /" + route + "/" + id + " HTTP/1.1\r\nHost: " + route + ".example\r\n"
              + "X-Request-Id: " + id + "\r\nX-Timeout-Ms: " + timeoutMillis
              + "\r\nAuthorization: Token " + Config.KEY + "\r\n"
              + (method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n";
      socket.getOutputStream().write(Lab.latin1(head + body));
      Http.Answer answer = Http.readAnswer(new BufferedInputStream(socket.getInputStream()));
      String reason = answer.message.header("cornelspoke-reason");
      end = answer.status + (reason == null ? "" : " " + reason);
    } catch (IOException e) {
      end = "no answer: " + e.getMessage();
    }
    ends.put(id, end);
    lab.log("answered", id + " " + end);
    return end;
  }

  @Override
  public void close() {
    closed = true;
  }
}
