package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that nobody controls upload large bodies of legal size through one machine while the
 * machine of their target is frozen for some seconds.
 */
public final class FrozenPeerCase {

  private static final int BODY_BYTES = 8 << 20;
  private static final int UPLOADERS = 7;
  private static final int TIMEOUT_MILLIS = 500;
  private static final int FREEZE_MILLIS = 3_500;

  private FrozenPeerCase() {}

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
    Lab.Machine edge = lab.addSidecar("iskedyul");
    Lab.Machine frozen = lab.addSidecar("scans");
    Lab.Machine entries = lab.addSidecar("pasok");
    for (Lab.Machine machine : lab.sidecars) {
      lab.start(machine);
    }
    Set<String> run = ConcurrentHashMap.newKeySet();
    lab.own(new Target(lab, frozen, "i-scans", 187, PipelineCase.behaviour(lab, run, 60, 500)));
    lab.own(new Target(lab, entries, "i-entries", 355, PipelineCase.behaviour(lab, run, 300, 500)));
    Config config =
        new Config()
            .route("scan", "upload", "scans", 1, "5000ms")
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
    if (!new Load(lab, edge, "scan", "POST", 5_000, "x".repeat(60_000)).send("first").startsWith("200")) {
      return 2;
    }
    KeptLoad load = lab.own(new KeptLoad(lab, edge, "entry", "x".repeat(1_200))).start(12);
    Thread.sleep(2_000);
    if (load.succeeded.get() == 0) {
      return 2;
    }

    AtomicBoolean uploading = new AtomicBoolean(true);
    AtomicInteger number = new AtomicInteger();
    byte[] body = new byte[BODY_BYTES];
    if (lab.trouble) {
      // FREEZE=0 leaves out the freeze only; the uploads alone must do no harm.
      boolean freeze = !"0".equals(System.getenv("FREEZE"));
      if (freeze) {
        lab.signal(frozen, "STOP");
      }
      for (int i = 0; i < UPLOADERS; i++) {
        Target.daemonThread(
            () -> {
              while (uploading.get()) {
                upload(lab, edge, "u" + number.incrementAndGet(), body);
              }
            });
      }
      long end = lab.millis() + FREEZE_MILLIS;
      while (lab.millis() < end && edge.isAlive()) {
        lab.log("memory", "resident memory of the edge: " + residentKb(edge) + " KB");
        Thread.sleep(200);
      }
      if (freeze) {
        lab.signal(frozen, "CONT");
      }
      Thread.sleep(1_000);
      uploading.set(false);
    }
    Thread.sleep(4_000);
    load.close();
    Thread.sleep(1_000);
    String cause =
        lab.readLog(edge).lines().filter(line -> line.contains("process-ends")).findFirst().orElse("");
    long lost = load.unanswered.stream().filter(run::contains).count();
    return lab.verdict(
        lost > 3,
        lost + " requests of other clients were passed on to a sound target and their kept"
            + " connections were closed without an answer; "
            + (edge.isAlive() ? "the process runs" : "the process has ended: " + cause)
            + "; uploads sent: " + number);
  }

  private static long residentKb(Lab.Machine machine) {
    try {
      return Files.readAllLines(Path.of("/proc/" + machine.pid() + "/status")).stream()
          .filter(line -> line.startsWith("VmRSS"))
          .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
          .findFirst()
          .orElse(0);
    } catch (IOException e) {
      return 0;
    }
  }

  private static void upload(Lab lab, Lab.Machine edge, String id, byte[] body) {
    String end;
    lab.log("sent", id + " POST of " + body.length + " bytes");
    try (Socket socket = Lab.connect(edge.ip, lab.outboundPort(), 1_000)) {
      socket.setSoTimeout(3_000);
      OutputStream out = socket.getOutputStream();
      out.write(
          Lab.latin1(
              "POST /scan/" + id + " HTTP/1.1\r\nHost: scan.example\r\nX-Request-Id: " + id
                  + "\r\nX-Timeout-Ms: " + TIMEOUT_MILLIS + "\r\nAuthorization: Token " + Config.KEY
                  + "\r\nContent-Length: " + body.length + "\r\n\r\n"));
      out.write(body);
      out.flush();
      Http.Answer answer = Http.readAnswer(new BufferedInputStream(socket.getInputStream()));
      end = answer.status + " " + answer.message.header("cornelspoke-reason");
    } catch (IOException e) {
      end = "no answer: " + e.getMessage();
      pause();
    }
    lab.log("answered", id + " " + end);
    if (end.startsWith("503")) {
      pause();
    }
  }

  private static void pause() {
    try {
      Thread.sleep(50);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
