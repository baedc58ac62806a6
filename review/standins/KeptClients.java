import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients of one machine that send one safe request after another on connections that they keep. */
final class KeptClients {

  private final Fleet fleet;
  private final int sidecar;
  private final Target target;
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private volatile boolean stopped;

  /** Creates the clients of a machine; the target is the one that runs their requests. */
  KeptClients(Fleet fleet, int sidecar, Target target) {
    this.fleet = fleet;
    this.sidecar = sidecar;
    this.target = target;
  }

  void start(int count) {
    for (int i = 0; i < count; i++) {
      int number = i;
      Target.daemonThread(() -> run(number));
    }
  }

  void stop() {
    stopped = true;
  }

  int answered() {
    return answered.get();
  }

  /**
   * Returns how many requests on kept connections were passed on to the target and got no byte of
   * an answer before the connection was closed.
   */
  int lost() {
    return lost.get();
  }

  private void run(int number) {
    for (int round = 0; !stopped; round++) {
      try (Socket socket = Http.connect(fleet.sidecarAddress(sidecar), fleet.outboundPort(), 8_000)) {
        serve(socket, String.format("c%03d%04d", number, round));
      } catch (IOException e) {
        pause();
      }
    }
  }

  private void serve(Socket socket, String prefix) throws IOException {
    BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
    for (int i = 0; !stopped; i++) {
      Map<String, String> headers = new LinkedHashMap<>();
      String id = String.format("%s%08x", prefix, i);
      headers.put("Host", "jepu9.example");
      headers.put("X-Request-Id", id);
      headers.put("X-Timeout-Ms", "6000");
      Http.Answer answer;
      try {
        Http.send(socket.getOutputStream(), "GET /puka111/2f HTTP/1.1", headers, null);
        answer = Http.readAnswer(in);
      } catch (java.net.SocketTimeoutException e) {
        throw e;
      } catch (IOException e) {
        boolean passedOn = target.runs().containsKey(id);
        fleet.record("request %s on a kept connection: closed, passed on: %s", id, passedOn);
        if (i > 0 && passedOn && !stopped) {
          lost.incrementAndGet();
        }
        throw e;
      }
      if (answer.status() == 200) {
        answered.incrementAndGet();
      } else {
        pause();
      }
      if ("close".equalsIgnoreCase(answer.head().header("connection"))) {
        return;
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(300);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
