package review2;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A client sends safe requests before the earlier ones have been answered, and reads the answers
 * slowly. Other clients keep connections to the same machine.
 */
public final class PipelineCase {

  /** Mean size of an answer to results-view on the sheet of the site. */
  private static final int ANSWER_BYTES = 5_000;

  private static final int REQUESTS_PER_SECOND = 80;
  private static final int SECONDS = 45;
  private static final int SLOW_BYTES_PER_SECOND = 64 << 10;

  private PipelineCase() {}

  /** Runs the case and ends with its exit status. */
  public static void main(String[] args) throws Exception {
    int status = 2;
    try (Lab lab = new Lab(Path.of(args[0]))) {
      status = run(lab);
    }
    System.exit(status);
  }

  private static int run(Lab lab) throws Exception {
    for (int i = 0; i < 3; i++) {
      lab.start(lab.addCore());
    }
    Lab.Machine edge = lab.addSidecar("hatol");
    Lab.Machine entries = lab.addSidecar("pasok");
    for (Lab.Machine machine : lab.sidecars) {
      lab.start(machine);
    }
    Set<String> run = ConcurrentHashMap.newKeySet();
    lab.own(new Target(lab, edge, "i-results", 45, behaviour(lab, run, 1, ANSWER_BYTES)));
    lab.own(new Target(lab, entries, "i-entries", 355, behaviour(lab, run, 300, 500)));
    Config config =
        new Config()
            .route("results", "safe", "hatol", 2, "2500ms")
            .route("entry", "unsafe", "pasok", 0, "5000ms");
    if (!lab.replace("00000000", config.text("00000001"), 15_000)) {
      return 2;
    }
    for (Lab.Machine machine : lab.sidecars) {
      if (!lab.awaitReady(machine, 15_000)) {
        return 2;
      }
    }
    Thread.sleep(5_000);
    KeptLoad load = lab.own(new KeptLoad(lab, edge, "entry", "x".repeat(1_200))).start(12);
    Thread.sleep(2_000);
    if (load.succeeded.get() == 0) {
      return 2;
    }

    int answers = pipeline(lab, edge);
    Thread.sleep(1_000);
    load.close();
    Thread.sleep(1_000);
    String cause =
        lab.readLog(edge).lines().filter(line -> line.contains("process-ends")).findFirst().orElse("");
    lab.log("edge", edge.isAlive() ? "runs" : "has ended: " + cause);
    long lost = load.unanswered.stream().filter(run::contains).count();
    return lab.verdict(
        lost > 3,
        lost + " requests of other clients were passed on to a sound target and their kept"
            + " connections were closed without an answer; "
            + (edge.isAlive() ? "the process runs" : "the process has ended: " + cause)
            + "; answers read by the pipelining client: " + answers);
  }

  static Target.Behaviour behaviour(Lab lab, Set<String> run, int workMillis, int answerBytes) {
    byte[] body = new byte[answerBytes];
    return (target, head, in, out) -> {
      Http.readBody(in, head);
      run.add(head.header("x-request-id"));
      lab.log("run", head.header("x-request-id") + " at " + target.id);
      Thread.sleep(workMillis);
      target.answer(out, head, 200, body, "");
      return true;
    };
  }

  /** Sends requests at a steady rate on one connection; returns the number of answers read. */
  private static int pipeline(Lab lab, Lab.Machine edge) throws Exception {
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(64 << 10);
      socket.connect(
          new InetSocketAddress(InetAddress.getByName(edge.ip), lab.outboundPort()), 1_000);
      socket.setSoTimeout(5_000);
      Thread writer = Target.daemonThread(() -> sendAll(lab, socket));
      InputStream in = new BufferedInputStream(new SlowInput(lab, socket.getInputStream()), 8_192);
      int answers = 0;
      try {
        while (answers < REQUESTS_PER_SECOND * SECONDS) {
          Http.Answer answer = Http.readAnswer(in);
          answers++;
          lab.log("answered", answer.message.header("x-request-id") + " " + answer.status);
        }
      } catch (IOException e) {
        lab.log("pipeline", "after " + answers + " answers: " + e);
      }
      writer.join(2_000);
      return answers;
    }
  }

  private static void sendAll(Lab lab, Socket socket) {
    try {
      OutputStream out = socket.getOutputStream();
      long start = System.nanoTime();
      for (int i = 1; i <= REQUESTS_PER_SECOND * SECONDS; i++) {
        lab.log("sent", "p" + i + " GET");
        out.write(
            Lab.latin1(
                "GET /results/" + i + " HTTP/1.1\r\nHost: results.example\r\nX-Request-Id: p" + i
                    + "\r\nX-Timeout-Ms: 2500\r\nAuthorization: Token " + Config.KEY + "\r\n\r\n"));
        long waitNanos = start + i * 1_000_000_000L / REQUESTS_PER_SECOND - System.nanoTime();
        if (waitNanos > 0) {
          Thread.sleep(waitNanos / 1_000_000, (int) (waitNanos % 1_000_000));
        }
      }
    } catch (IOException | InterruptedException e) {
      lab.log("pipeline", "sending ended: " + e);
    }
  }

  /** Passes bytes on at a low rate while the disruption lasts. */
  private static final class SlowInput extends InputStream {
    private final Lab lab;
    private final InputStream in;
    private final long endNanos;

    SlowInput(Lab lab, InputStream in) {
      this.lab = lab;
      this.in = in;
      this.endNanos = System.nanoTime() + SECONDS * 1_000_000_000L;
    }

    @Override
    public int read() throws IOException {
      throw new EOFException("not used");
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
      if (lab.trouble && System.nanoTime() < endNanos) {
        try {
          Thread.sleep(1_000L * length / SLOW_BYTES_PER_SECOND);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
      return in.read(bytes, offset, length);
    }
  }
}
