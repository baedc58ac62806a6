import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses. Each daemon is a process of its own, started with the
 * words of its role's {@code run} in deploy/system.toml. Ports are the same on all machines.
 */
final class Fleet implements AutoCloseable {

  static final int FIRST_PORT_COUNT = 16;

  private final long startNanos = System.nanoTime();
  private final Path folder;
  private final BufferedWriter record;
  private final String network;
  private final int firstPort;
  private final Map<String, Process> processes = new ConcurrentSkipListMap<>();
  private final List<String> seeds = new ArrayList<>();
  private String grace = "6s";
  private boolean closed;

  Fleet(Path recordFile, int coreCount) throws IOException {
    folder = Files.createTempDirectory("cornelspoke-review");
    record = Files.newBufferedWriter(recordFile);
    // A network of its own for each run, so that runs side by side do not meet.
    long pid = ProcessHandle.current().pid();
    network = "127." + (64 + pid / 250 % 128) + "." + (1 + pid % 250) + ".";
    firstPort = freePorts();
    for (int i = 0; i < Math.min(3, coreCount); i++) {
      seeds.add(coreAddress(i) + ":" + controlPort());
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
  }

  /** Sets the time between SIGTERM and SIGKILL; 6s unless set. */
  void setGrace(String newGrace) {
    grace = newGrace;
  }

  String coreAddress(int index) {
    return network + (10 + index);
  }

  String sidecarAddress(int index) {
    return network + (100 + index);
  }

  int controlPort() {
    return firstPort + FIRST_PORT_COUNT;
  }

  int readyPort() {
    return firstPort + FIRST_PORT_COUNT + 1;
  }

  int inboundPort() {
    return firstPort + FIRST_PORT_COUNT + 2;
  }

  int outboundPort() {
    return firstPort + FIRST_PORT_COUNT + 3;
  }

  int targetPort() {
    return firstPort + FIRST_PORT_COUNT + 4;
  }

  Path folder() {
    return folder;
  }

  long nowMillis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  /** Writes a line to the record; lines of threads that outlive the run are dropped. */
  void record(String format, Object... values) {
    String line = String.format("%8.3f ", nowMillis() / 1000.0) + String.format(format, values);
    synchronized (record) {
      try {
        record.write(line);
        record.newLine();
        record.flush();
      } catch (IOException e) {
        System.err.println(line);
      }
    }
  }

  /** Starts the daemon of a core machine; {@code bootstrap} is true at the first start only. */
  void startCore(int index, boolean bootstrap) throws IOException {
    String ip = coreAddress(index);
    String settings =
        common("core", ip, bootstrap)
            + "data_dir = \"" + folder.resolve("disk-" + index) + "\"\n"
            + "serves = [\"control_plane\"]\n"
            + tables("control = \"" + ip + ":" + controlPort() + "\"\n");
    start("core-" + index, "control", settings);
  }

  /** Starts the daemon beside a target of a service. */
  void startSidecar(int index, String service) throws IOException {
    startSidecar(index, service, "zone-a");
  }

  void startSidecar(int index, String service, String zone) throws IOException {
    String ip = sidecarAddress(index);
    String settings =
        common("sidecar", ip, true).replace("zone = \"zone-a\"", "zone = \"" + zone + "\"")
            + "service = \"" + service + "\"\n"
            + "app_addr = \"" + ip + ":" + targetPort() + "\"\n"
            + "serves = [\"sidecar\"]\n"
            + tables(
                "inbound = \"" + ip + ":" + inboundPort() + "\"\n"
                    + "outbound = \"" + ip + ":" + outboundPort() + "\"\n"
                    + "ready = \"" + ip + ":" + readyPort() + "\"\n"
                    + "control = \"" + ip + ":" + controlPort() + "\"\n");
    start("sidecar-" + index, "traffic", settings);
  }

  boolean isRunning(String name) {
    return processes.get(name).isAlive();
  }

  /** Returns the exit code of a process that has ended. */
  int exitCode(String name) {
    return processes.get(name).exitValue();
  }

  long pid(String name) {
    return processes.get(name).pid();
  }

  /** Sends SIGTERM to a process. */
  void terminate(String name) {
    record("SIGTERM to %s", name);
    processes.get(name).destroy();
  }

  /** Sends SIGKILL to a process. */
  void kill(String name) {
    record("SIGKILL to %s", name);
    processes.get(name).destroyForcibly();
  }

  /** Returns the names of the processes that have ended without a signal of this test. */
  List<String> ended() {
    return processes.entrySet().stream()
        .filter(e -> !e.getValue().isAlive())
        .map(Map.Entry::getKey)
        .toList();
  }

  String lastLines(String name, int count) throws IOException {
    List<String> lines = Files.readAllLines(folder.resolve(name + ".log"));
    return String.join("\n", lines.subList(Math.max(0, lines.size() - count), lines.size()));
  }

  @Override
  public void close() throws IOException {
    endAll();
    synchronized (record) {
      record.close();
    }
  }

  private String common(String type, String ip, boolean bootstrap) {
    StringBuilder list = new StringBuilder();
    seeds.forEach(s -> list.append(list.length() == 0 ? "" : ",").append('"').append(s).append('"'));
    return "node_name = \"" + type + "-" + ip + "\"\n"
        + "instance_type = \"" + type + "\"\n"
        + "ip = \"" + ip + "\"\n"
        + "zone = \"zone-a\"\nregion = \"region-a\"\n"
        + "internal_port_range = [" + firstPort + "," + (firstPort + FIRST_PORT_COUNT - 1) + "]\n"
        + "seeds = [" + list + "]\n"
        + "bootstrap = " + bootstrap + "\n"
        + "heartbeat = \"1500ms\"\n";
  }

  private String tables(String addresses) {
    return "[zones]\nzone-a = \"region-a\"\nzone-b = \"region-a\"\n"
        + "[listen_addrs]\n" + addresses
        + "[bounds]\ngrace = \"" + grace + "\"\nretry_window = \"10s\"\nretry_slack = 49\n";
  }

  private synchronized void start(String name, String role, String settings) throws IOException {
    if (closed) {
      throw new IOException("the run is over");
    }
    Path file = folder.resolve(name + ".toml");
    Files.writeString(file, settings);
    ProcessBuilder builder = new ProcessBuilder(run(role).split(" "));
    builder.environment().put("CORNELSPOKE_CONFIG", file.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    Process process = builder.start();
    processes.put(name, process);
    record("start %s pid %d", name, process.pid());
  }

  private static String run(String role) throws IOException {
    String text = Files.readString(Path.of("deploy/system.toml"));
    Matcher matcher =
        Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]+)\"").matcher(text);
    if (!matcher.find()) {
      throw new IOException("deploy/system.toml has no role " + role);
    }
    return matcher.group(1);
  }

  private int freePorts() throws IOException {
    for (int port = 20_000; port < 30_000; port += 32) {
      boolean free = true;
      for (int i = 0; i < 24 && free; i++) {
        try (ServerSocket probe = new ServerSocket()) {
          probe.bind(new InetSocketAddress(InetAddress.getByName(coreAddress(0)), port + i));
        } catch (IOException e) {
          free = false;
        }
      }
      if (free) {
        return port;
      }
    }
    throw new IOException("no free ports");
  }

  private synchronized void endAll() {
    closed = true;
    processes.values().forEach(Process::destroyForcibly);
    for (Process process : processes.values()) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
    } catch (IOException e) {
      // The folder is gone already.
    }
  }
}
