import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients of one machine download large responses on kept connections. With trouble, they read them
 * slowly; without, they read at full speed. Each client asks for one response at a time.
 */
final class SlowReaders {

  private static final int CORE_COUNT = 3;
  private static final int BODY_BYTES = 4 << 20;
  private static final int CLIENTS = 50;
  private static final int TIMEOUT_MILLIS = 20_000;
  private static final int SLOW_BYTES_PER_SECOND = 400_000;

  private SlowReaders() {}

  public static void main(String[] args) {
    boolean trouble = !args[0].equals("0");
    int result = 2;
    try (Fleet fleet = new Fleet(Path.of(args[1]), CORE_COUNT)) {
      result = run(fleet, trouble);
      fleet.record("exit %d", result);
    } catch (Exception e) {
      e.printStackTrace();
      result = 2;
    }
    System.exit(result);
  }

  private static int run(Fleet fleet, boolean trouble) throws Exception {
    for (int i = 0; i < CORE_COUNT; i++) {
      fleet.startCore(i, true);
    }
    fleet.startSidecar(0, "front1a");
    fleet.startSidecar(1, "huvo11a");
    fleet.startSidecar(2, "wuno96b");
    Target target =
        new Target(
            fleet,
            1,
            "i-7f3a91c2",
            "huvo11a",
            87,
            (request, body, out) -> {
              Thread.sleep(72);
              Target.respond(out, request, 200, new byte[BODY_BYTES]);
              return true;
            });
    Target other =
        new Target(
            fleet,
            2,
            "i-1c0de5ab",
            "wuno96b",
            87,
            (request, body, out) -> {
              Thread.sleep(1_000);
              Target.respond(out, request, 200, new byte[400]);
              return true;
            });
    byte[] configuration =
        Operator.configuration(
            1,
            List.of(
                "[\"r-1\",\"hulo84.example\",\"/leny950/\",\"download\",\"20000ms\",\"1500ms\",2,"
                    + "null,2,true,\"huvo11a\"]",
                "[\"r-2\",\"jepu9.example\",\"/puka111/\",\"safe\",\"6000ms\",\"1500ms\",2,null,"
                    + "2,true,\"wuno96b\"]"),
            List.of("huvo11a", "front1a", "wuno96b"),
            List.of());
    if (new Operator(fleet, CORE_COUNT).replace(0, configuration, 20_000) != 200) {
      return 2;
    }
    boolean served = false;
    for (int i = 0; i < 40 && !served; i++) {
      Thread.sleep(500);
      served = download(fleet, 1_000_000 + i, Integer.MAX_VALUE).equals("200");
    }
    if (!served) {
      fleet.record("no request was served before the trouble");
      return 2;
    }
    KeptClients kept = new KeptClients(fleet, 0, other);
    kept.start(10);
    Thread.sleep(3_500);
    AtomicInteger closed = new AtomicInteger();
    CountDownLatch ended = new CountDownLatch(CLIENTS);
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      Target.daemonThread(
          () -> {
            String result =
                download(fleet, number, trouble ? SLOW_BYTES_PER_SECOND : Integer.MAX_VALUE);
            fleet.record("request %016x: %s", number, result);
            if (result.startsWith("closed")) {
              closed.incrementAndGet();
            }
            ended.countDown();
          });
      Thread.sleep(50);
    }
    ended.await();
    Thread.sleep(1_000);
    kept.stop();
    Thread.sleep(1_500);
    fleet.record(
        "downloads: %d of %d were cut; kept connections: %d requests answered, %d lost",
        closed.get(), CLIENTS, kept.answered(), kept.lost());
    for (String name : fleet.ended()) {
      fleet.record("%s ended by itself, exit code %d", name, fleet.exitCode(name));
    }
    target.close();
    other.close();
    if (kept.answered() == 0) {
      return 2;
    }
    // LOST: more than three times.
    return kept.lost() > 3 ? 1 : 0;
  }

  private static String download(Fleet fleet, int number, int bytesPerSecond) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", "hulo84.example");
    headers.put("X-Request-Id", String.format("%016x", number));
    headers.put("X-Timeout-Ms", Integer.toString(TIMEOUT_MILLIS));
    try (Socket socket =
        Http.connect(fleet.sidecarAddress(0), fleet.outboundPort(), TIMEOUT_MILLIS)) {
      Http.send(socket.getOutputStream(), "GET /leny950/2f HTTP/1.1", headers, null);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Http.Head head = Http.readHead(in);
      if (head == null) {
        return "closed before an answer";
      }
      int length = Integer.parseInt(head.header("content-length"));
      byte[] part = new byte[64 << 10];
      long start = System.nanoTime();
      int read = 0;
      while (read < length) {
        int count = in.read(part, 0, Math.min(part.length, length - read));
        if (count < 0) {
          return "closed after " + read + " of " + length + " bytes";
        }
        read += count;
        long dueMillis = read * 1_000L / bytesPerSecond;
        long restMillis = dueMillis - (System.nanoTime() - start) / 1_000_000;
        if (restMillis > 0) {
          Thread.sleep(restMillis);
        }
      }
      return Integer.toString(head.status());
    } catch (IOException e) {
      return "closed: " + e.getMessage();
    } catch (InterruptedException e) {
      return "interrupted";
    }
  }
}
