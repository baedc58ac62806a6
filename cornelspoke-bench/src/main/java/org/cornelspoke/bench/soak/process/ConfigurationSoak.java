package org.cornelspoke.bench.soak.process;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Changes the configuration of a small deployment of real processes while these are signalled and
 * restarted, and judges every answer by the acknowledged versions.
 */
final class ConfigurationSoak implements AutoCloseable {

  private static final String[] SERVICES = {"alpha", "beta", "gamma"};
  private static final long PHASE_MILLIS = 12_000;
  private static final long REPLACEMENT_INTERVAL_MILLIS = 9_000;
  private static final long REPLACEMENT_PAUSE_MILLIS = 1_000;
  private static final long PROBE_INTERVAL_MILLIS = 40;
  private static final long CHANGE_INTERVAL_MILLIS = 500;
  private static final long ORDER_TIMEOUT_MILLIS = 25_000;
  private static final long READ_BACK_MILLIS = 15_000;
  private static final int MAX_DISTURBED_CORE = 2;

  private final long startNanos = System.nanoTime();
  private final SoakOptions options;
  private final Random random;
  private final int ports;
  private final Path folder;
  private final String network;
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();
  private final List<SoakMachine> core = new CopyOnWriteArrayList<>();
  private final List<SoakMachine> sidecars = new ArrayList<>();
  private final List<SoakUpstream> upstreams = new ArrayList<>();
  private final SoakProcesses processes;
  private final TroubleLog troubles = new TroubleLog();
  private final ConfigurationHistory history = new ConfigurationHistory();
  private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();
  private final Map<String, AtomicLong> counts = new ConcurrentHashMap<>();
  private final AtomicLong requestNumber = new AtomicLong();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private volatile SoakConfiguration current;
  private volatile boolean over;

  ConfigurationSoak(SoakOptions options, int ports, Path folder) {
    this.options = options;
    this.random = new Random(options.seed());
    this.ports = ports;
    this.folder = folder;
    this.network = "127.%d.%d.".formatted(64 + random.nextInt(100), 1 + random.nextInt(200));
    for (int i = 0; i < options.coreCount(); i++) {
      core.add(controlVm(i));
    }
    for (int i = 0; i < options.sidecarCount(); i++) {
      String service = SERVICES[i % SERVICES.length];
      sidecars.add(new SoakMachine("sidecar-" + i, network + (100 + i), service, folder));
    }
    this.processes = new SoakProcesses(folder, ports, core);
  }

  /** Runs the soak and returns the violations found. */
  List<String> run() throws Exception {
    for (SoakMachine machine : core) {
      processes.start(machine, true);
    }
    for (SoakMachine machine : sidecars) {
      processes.start(machine, true);
      SoakUpstream upstream = new SoakUpstream(machine, ports, http);
      upstreams.add(upstream);
      upstream.start();
    }
    SoakConfiguration first =
        new SoakConfiguration(
            1, 0, Map.of("/fixed/", "beta", "/move/", "alpha"), Set.of("key-0", "fixed"), 3_000);
    if (!order(first, 0)) {
      return List.of("the first configuration was not acknowledged");
    }
    current = first;
    Thread.sleep(ConfigurationHistory.APPLY_MILLIS + TroubleLog.CONTACT_MILLIS);
    for (int i = 0; i < options.busyThreads(); i++) {
      threads.execute(this::keepBusy);
    }
    for (SoakMachine machine : sidecars) {
      long seed = random.nextLong();
      threads.execute(() -> probe(machine, new Random(seed)));
    }
    long troubleSeed = random.nextLong();
    if (options.troubles()) {
      threads.execute(() -> disturb(new Random(troubleSeed)));
    }
    if (options.replacements()) {
      threads.execute(this::replaceControlVms);
    }
    changeUntil(nowMillis() + options.seconds() * 1_000L);
    over = true;
    Thread.sleep(TroubleLog.CONTACT_MILLIS + 2_000);
    readBack();
    return List.copyOf(violations);
  }

  /** Returns counts of answers by kind. */
  Map<String, AtomicLong> counts() {
    return counts;
  }

  /** Returns the peak memory and the data size of each control VM. */
  String sizes() throws IOException {
    StringBuilder text = new StringBuilder();
    for (SoakMachine machine : core) {
      long diskBytes = 0;
      try (var files = Files.walk(machine.dataFolder())) {
        for (Path file : files.filter(Files::isRegularFile).toList()) {
          diskBytes += Files.size(file);
        }
      }
      String peak =
          Files.readAllLines(Path.of("/proc/" + processes.pid(machine.name()) + "/status")).stream()
              .filter(line -> line.startsWith("VmHWM"))
              .findFirst()
              .orElse("");
      text.append(machine.name()).append(": ").append(peak.replaceAll("\\s+", " "));
      text.append(", data folder ").append(diskBytes >> 10).append(" kB\n");
    }
    return text.toString();
  }

  @Override
  public void close() {
    over = true;
    threads.shutdownNow();
    upstreams.forEach(SoakUpstream::close);
    processes.close();
  }

  private void changeUntil(long endMillis) throws InterruptedException {
    for (long number = 1; nowMillis() < endMillis; number++) {
      long started = nowMillis();
      SoakConfiguration next = current.next(current.version() + 1 + number % 3, number);
      boolean accepted =
          switch ((int) (number % 7)) {
            case 1 -> race(next);
            case 2 -> {
              sendAndLeave(next);
              yield order(next, endMillis);
            }
            case 3 -> {
              sendInvalid(number);
              yield order(next, endMillis);
            }
            default -> order(next, endMillis);
          };
      if (!accepted) {
        count("changes without an acknowledgement");
        return;
      }
      count("changes acknowledged");
      if (number % 5 == 0) {
        resend(current);
      }
      Thread.sleep(Math.max(0, CHANGE_INTERVAL_MILLIS - (nowMillis() - started)));
    }
  }

  /** Sends a change until there is a clear answer. */
  private boolean order(SoakConfiguration next, long endMillis) throws InterruptedException {
    String body = PlatformWire.configuration(next, options.moreRoutes());
    history.onSent(next, nowMillis());
    long giveUpMillis = Math.max(endMillis, nowMillis()) + ORDER_TIMEOUT_MILLIS;
    while (nowMillis() < giveUpMillis) {
      int status = send(PlatformWire.replace(anyCore(), next.base(), body)).orElse(0);
      if (status == 200) {
        onAcknowledged(next);
        return true;
      }
      if (status >= 400 && status < 500) {
        violation("change " + next.version() + " on " + next.base() + " refused with " + status);
        return false;
      }
      Thread.sleep(100);
    }
    return false;
  }

  /** Sends two changes on the same base to different control VMs at once. */
  private boolean race(SoakConfiguration next) throws InterruptedException {
    SoakConfiguration other =
        new SoakConfiguration(
            next.version() + 1, next.base(), next.serviceByPath(), next.keys(), 2_700);
    history.onSent(next, nowMillis());
    history.onSent(other, nowMillis());
    for (int round = 0; round < 100; round++) {
      var first = asyncReplace(next);
      var second = asyncReplace(other);
      int firstStatus = first.join();
      int secondStatus = second.join();
      if (firstStatus == 200 || secondStatus == 200) {
        if (firstStatus == 200) {
          onAcknowledged(next);
        }
        if (secondStatus == 200) {
          onAcknowledged(other);
        }
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  private java.util.concurrent.CompletableFuture<Integer> asyncReplace(
      SoakConfiguration configuration) {
    String body = PlatformWire.configuration(configuration, options.moreRoutes());
    return http.sendAsync(
            PlatformWire.replace(anyCore(), configuration.base(), body),
            HttpResponse.BodyHandlers.discarding())
        .handle((response, e) -> e == null ? response.statusCode() : 0);
  }

  /** Sends a change and closes the connection before the answer. */
  private void sendAndLeave(SoakConfiguration next) throws InterruptedException {
    history.onSent(next, nowMillis());
    var call = asyncReplace(next);
    Thread.sleep(5);
    call.cancel(true);
  }

  private void sendInvalid(long number) {
    SoakConfiguration next = current.next(current.version() + 1, number);
    List<String> forms =
        PlatformWire.invalid(PlatformWire.configuration(next, options.moreRoutes()));
    int form = (int) (number / 7 % forms.size());
    int status = send(PlatformWire.replace(anyCore(), next.base(), forms.get(form))).orElse(0);
    if (status == 200) {
      violation("invalid configuration " + form + " was acknowledged");
    }
  }

  private void resend(SoakConfiguration acknowledged) {
    String body = PlatformWire.configuration(acknowledged, options.moreRoutes());
    int status = send(PlatformWire.replace(anyCore(), acknowledged.base(), body)).orElse(0);
    if (status >= 400 && status < 500) {
      violation("acknowledged change " + acknowledged.version() + " refused with " + status);
    }
  }

  private void onAcknowledged(SoakConfiguration configuration) {
    history.onAcknowledged(configuration, nowMillis()).ifPresent(this::violation);
    current = configuration;
  }

  private void probe(SoakMachine machine, Random probeRandom) {
    while (!over) {
      List<String> paths = new ArrayList<>(current.serviceByPath().keySet());
      paths.add("/added-" + probeRandom.nextInt(400) + "/");
      List<String> keys = new ArrayList<>(current.keys());
      keys.add("key-" + probeRandom.nextInt(400));
      String path = paths.get(probeRandom.nextInt(paths.size()));
      String key = probeRandom.nextBoolean() ? "fixed" : keys.get(probeRandom.nextInt(keys.size()));
      request(machine, path, key);
      readAnywhere(probeRandom);
      try {
        Thread.sleep(PROBE_INTERVAL_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void request(SoakMachine machine, String path, String key) {
    long sentMillis = nowMillis();
    String outcome;
    try {
      String id = "soak%012x".formatted(requestNumber.incrementAndGet());
      HttpResponse<String> response =
          http.send(
              PlatformWire.request(machine, ports, path, key, id),
              HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
      outcome =
          response.statusCode() == 200 ? response.body() : Integer.toString(response.statusCode());
    } catch (IOException e) {
      outcome = "closed";
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return;
    }
    boolean inTouch = troubles.isInTouch(machine.name(), sentMillis);
    count((inTouch ? "in touch: " : "disturbed: ") + outcome);
    boolean definite = outcome.matches("40[0134]") || List.of(SERVICES).contains(outcome);
    if (inTouch && definite) {
      history
          .judge(path, key, outcome, sentMillis, nowMillis())
          .ifPresent(text -> violation(machine.name() + ": " + text));
    }
  }

  /** Reads the configuration at one control VM; any of them must not answer with an older one. */
  private void readAnywhere(Random probeRandom) {
    if (probeRandom.nextInt(10) > 0) {
      return;
    }
    long required = history.requiredVersion(nowMillis());
    read(anyCore())
        .filter(version -> version < required)
        .ifPresent(version -> violation("read " + version + ", " + required + " is required"));
  }

  private void readBack() throws InterruptedException {
    long required = history.newestAcknowledged();
    long endMillis = nowMillis() + READ_BACK_MILLIS;
    while (nowMillis() < endMillis) {
      Optional<Long> version = read(anyCore());
      if (version.isPresent()) {
        if (version.get() < required) {
          violation("read back " + version.get() + ", " + required + " was acknowledged");
        }
        return;
      }
      Thread.sleep(200);
    }
    violation("read back: no configuration in time");
  }

  private Optional<Long> read(String address) {
    try {
      HttpResponse<String> response =
          http.send(PlatformWire.read(address), HttpResponse.BodyHandlers.ofString());
      return response.statusCode() == 200
          ? Optional.of(PlatformWire.versionOf(response.body()))
          : Optional.empty();
    } catch (IOException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }

  private void disturb(Random troubleRandom) {
    try {
      while (!over) {
        boolean calm = nowMillis() / PHASE_MILLIS % 2 == 0;
        Thread.sleep(calm ? 200 : 300 + troubleRandom.nextInt(1_700));
        if (!calm && !over) {
          disturbOnce(troubleRandom);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void disturbOnce(Random troubleRandom) {
    int draw = troubleRandom.nextInt(100);
    long pauseMillis = 300L + troubleRandom.nextInt(3_000);
    List<SoakMachine> chosen = new ArrayList<>();
    if (draw < 50) {
      chosen.add(sidecars.get(troubleRandom.nextInt(sidecars.size())));
    } else if (draw < 95) {
      if (troubles.disturbedCount("core-") < MAX_DISTURBED_CORE) {
        chosen.add(core.get(troubleRandom.nextInt(core.size())));
      }
    } else {
      chosen.addAll(core);
    }
    String signal = new String[] {"TERM", "KILL", "STOP"}[draw % 3];
    for (SoakMachine machine : chosen) {
      if (troubles.begin(machine.name())) {
        threads.execute(() -> signal(machine, signal, pauseMillis));
      }
    }
  }

  /** Replaces the oldest control VM by an empty one at another address, one after the other. */
  private void replaceControlVms() {
    try {
      for (int number = core.size(); !over; number++) {
        SoakMachine oldest = core.get(0);
        SoakMachine successor = controlVm(number);
        if (troubles.begin(oldest.name())) {
          System.out.printf(
              "%8.3f %s replaces %s%n", nowMillis() / 1000.0, successor.name(), oldest.name());
          core.remove(oldest);
          processes.signal(oldest.name(), "KILL");
          Thread.sleep(REPLACEMENT_PAUSE_MILLIS);
          core.add(successor);
          processes.setCore(core);
          processes.start(successor, false);
          troubles.end(oldest.name(), nowMillis());
        }
        Thread.sleep(REPLACEMENT_INTERVAL_MILLIS);
      }
    } catch (IOException e) {
      violation("the soak itself failed: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private SoakMachine controlVm(int number) {
    return new SoakMachine(
        "core-" + number, network + (10 + number), "", folder.resolve("disk-" + number));
  }

  private void signal(SoakMachine machine, String signal, long pauseMillis) {
    try {
      System.out.printf("%8.3f %s to %s%n", nowMillis() / 1000.0, signal, machine.name());
      processes.signal(machine.name(), signal);
      if (signal.equals("STOP")) {
        Thread.sleep(pauseMillis);
        processes.signal(machine.name(), "CONT");
      } else {
        processes.awaitExit(machine.name());
        Thread.sleep(Math.min(1_000, pauseMillis));
        processes.start(machine, false);
      }
    } catch (IOException e) {
      violation("the soak itself failed: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      troubles.end(machine.name(), nowMillis());
    }
  }

  private void keepBusy() {
    long value = 1;
    while (!over) {
      value = value * 6364136223846793005L + 1442695040888963407L;
      if (value == 0) {
        count("zero");
      }
    }
  }

  private Optional<Integer> send(HttpRequest request) {
    try {
      return Optional.of(http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode());
    } catch (IOException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }

  private String anyCore() {
    int index = java.util.concurrent.ThreadLocalRandom.current().nextInt(core.size());
    return PlatformWire.controlAddress(core.get(index).ip(), ports);
  }

  private void violation(String text) {
    String line = "%8.3f %s".formatted(nowMillis() / 1000.0, text);
    violations.add(line);
    System.out.println("VIOLATION " + line);
  }

  private void count(String kind) {
    counts.computeIfAbsent(kind, k -> new AtomicLong()).incrementAndGet();
  }

  private long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }
}
