package review2;

import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the daemons of deploy/system.toml as separate processes,
 * each with its own address and settings file in a temporary folder. Ends all of them on close.
 */
public final class Lab implements AutoCloseable {

  /** One machine of the deployment and its process. */
  public static final class Machine {
    public final String ip;
    final boolean core;
    final String service;
    final String zone;
    final Path folder;
    Process process;
    boolean bootstrap = true;
    int starts;

    Machine(String ip, boolean core, String service, String zone, Path folder) {
      this.ip = ip;
      this.core = core;
      this.service = service;
      this.zone = zone;
      this.folder = folder;
    }

    public boolean isAlive() {
      return process != null && process.isAlive();
    }

    public long pid() {
      return process.pid();
    }

    public int exitValue() {
      return process.exitValue();
    }
  }

  private static final String[] ZONES = {"pampanga", "bulacan", "nueva-ecija"};

  public final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  public final long startNanos = System.nanoTime();
  public final int portBase;
  public final List<Machine> cores = new ArrayList<>();
  public final List<Machine> sidecars = new ArrayList<>();
  private final List<AutoCloseable> closeables = new ArrayList<>();
  private final Map<String, List<String>> commands = new LinkedHashMap<>();
  private final String network;
  private final Path folder;
  private final BufferedWriter record;
  private int nextHost = 1;

  public Lab(Path recordFile) throws IOException {
    record = Files.newBufferedWriter(recordFile);
    folder = Files.createTempDirectory("review2-");
    Random random = new Random();
    network = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
    portBase = freePorts(random);
    readCommands();
    Runtime.getRuntime().addShutdownHook(new Thread(this::destroyAll));
    log("lab", "trouble=" + trouble + " network=" + network + "0 ports from " + portBase);
  }

  private int freePorts(Random random) throws IOException {
    for (int attempt = 0; attempt < 50; attempt++) {
      int base = 11_000 + 20 * random.nextInt(900);
      boolean free = true;
      for (int port = base; port < base + 20 && free; port++) {
        try (ServerSocket socket = new ServerSocket()) {
          socket.bind(new InetSocketAddress(InetAddress.getByName(network + "1"), port));
        } catch (IOException e) {
          free = false;
        }
      }
      if (free) {
        return base;
      }
    }
    throw new IOException("no free ports");
  }

  /** Reads the commands of the roles from the deploy file. */
  private void readCommands() throws IOException {
    String role = "";
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("[roles.")) {
        role = line.substring(7, line.indexOf(']'));
      } else if (line.startsWith("run = ")) {
        String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        commands.put(role, Arrays.asList(text.split(" ")));
      }
    }
  }

  public int controlPort() {
    return portBase;
  }

  public int inboundPort() {
    return portBase + 1;
  }

  public int outboundPort() {
    return portBase + 2;
  }

  public int readyPort() {
    return portBase + 3;
  }

  public int targetPort() {
    return portBase + 4;
  }

  private int internalPort() {
    return portBase + 5;
  }

  public int metricsPort() {
    return internalPort() + 2;
  }

  public Machine addCore() {
    Machine machine = machine(true, null, cores.size());
    cores.add(machine);
    return machine;
  }

  public Machine addSidecar(String service) {
    return addSidecar(service, sidecars.size());
  }

  /** Adds a machine for a target in a zone with the given number. */
  public Machine addSidecar(String service, int zone) {
    Machine machine = machine(false, service, zone);
    sidecars.add(machine);
    return machine;
  }

  private Machine machine(boolean core, String service, int number) {
    String ip = network + nextHost++;
    return new Machine(ip, core, service, ZONES[number % ZONES.length], folder.resolve(ip));
  }

  private String settings(Machine machine) {
    StringBuilder seeds = new StringBuilder();
    for (int i = 0; i < Math.min(3, cores.size()); i++) {
      seeds.append(i == 0 ? "" : ",").append('"').append(cores.get(i).ip);
      seeds.append(':').append(controlPort()).append('"');
    }
    StringBuilder text = new StringBuilder();
    text.append("node_name = \"").append(machine.ip).append("\"\n");
    text.append("role = \"").append(machine.core ? "control" : "traffic").append("\"\n");
    text.append("instance_type = \"").append(machine.core ? "core" : "sidecar").append("\"\n");
    text.append("serves = [\"").append(machine.core ? "control_plane" : "sidecar").append("\"]\n");
    text.append("ip = \"").append(machine.ip).append("\"\nzone = \"").append(machine.zone);
    text.append("\"\nregion = \"luzon\"\ninternal_port_range = [").append(internalPort());
    text.append(',').append(internalPort() + 14).append("]\nseeds = [").append(seeds);
    text.append("]\nbootstrap = ").append(machine.bootstrap).append('\n');
    text.append("loss_counts = ").append(machine.core).append('\n');
    text.append("discovery = \"static\"\nentry = \"static\"\nheartbeat = \"1500ms\"\n");
    text.append("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",");
    text.append("\"pressure\",\"tenants\",\"quota\"]\n");
    if (machine.core) {
      text.append("data_dir = \"").append(machine.folder.resolve("data")).append("\"\n");
    } else {
      text.append("app_addr = \"").append(machine.ip).append(':').append(targetPort());
      text.append("\"\nservice = \"").append(machine.service).append("\"\n");
    }
    text.append("[zones]\n");
    for (String zone : ZONES) {
      text.append(zone).append(" = \"luzon\"\n");
    }
    text.append("[listen_addrs]\n");
    text.append(address("control", machine, controlPort()));
    if (!machine.core) {
      text.append(address("inbound", machine, inboundPort()));
      text.append(address("outbound", machine, outboundPort()));
      text.append(address("ready", machine, readyPort()));
    }
    text.append("[limits]\ncpu_share = 0.6\ncpu_cores = 2\nmemory_mb = 430\nmax_fds = 4100\n");
    text.append("link_mbps = 1000.0\ndisk_mb = ").append(machine.core ? 256 : 0).append('\n');
    text.append("[fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n");
    text.append("[bounds]\nseed_lag = \"3s\"\naddr_reuse = \"2s\"\ncontact = \"3000ms\"\n");
    text.append("ack = \"4000ms\"\ncatch_up = \"4s\"\ndrain = \"2000ms\"\ngrace = \"6s\"\n");
    text.append("loss_slack = \"200ms\"\nconfig_apply = \"2000ms\"\ndowngrade_slack = \"250ms\"\n");
    text.append("max_skew = \"5000ms\"\nstrict_revoke = false\nrevoke = \"5000ms\"\n");
    text.append("retry_budget_ratio = 0.2\nretry_window = \"10s\"\nretry_slack = 49\n");
    text.append("quota_window = \"5s\"\nquota_overage = 0.1\nquota_slack = 20\n");
    text.append("recovery = \"15s\"\n");
    return text.toString();
  }

  private static String address(String name, Machine machine, int port) {
    return name + " = \"" + machine.ip + ":" + port + "\"\n";
  }

  /** Starts the process of a machine. */
  public void start(Machine machine) throws IOException {
    Files.createDirectories(machine.folder);
    Path settings = machine.folder.resolve("node.toml");
    Files.writeString(settings, settings(machine));
    machine.starts++;
    ProcessBuilder builder =
        new ProcessBuilder(commands.get(machine.core ? "control" : "traffic"));
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("CORNELSPOKE_CONFIG", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(machine.folder.resolve("log").toFile()));
    machine.process = builder.start();
    machine.bootstrap = false;
    log("start", describe(machine));
  }

  public String describe(Machine machine) {
    return (machine.core ? "core " : "sidecar of " + machine.service + " ") + machine.ip;
  }

  public Path logFile(Machine machine) {
    return machine.folder.resolve("log");
  }

  public String readLog(Machine machine) {
    try {
      return Files.readString(logFile(machine), StandardCharsets.ISO_8859_1);
    } catch (IOException e) {
      return "";
    }
  }

  /** Sends a signal to the process of a machine, for example KILL, TERM, STOP or CONT. */
  public void signal(Machine machine, String name) throws Exception {
    log("signal", name + " to " + describe(machine));
    new ProcessBuilder("kill", "-" + name, Long.toString(machine.process.pid())).start().waitFor();
    if (name.equals("KILL")) {
      machine.process.waitFor(5, TimeUnit.SECONDS);
    }
  }

  /** Removes the files of a machine whose process has ended. */
  public void wipeDisk(Machine machine) throws IOException {
    log("wipe", describe(machine));
    deleteTree(machine.folder.resolve("data"));
  }

  private static void deleteTree(Path path) throws IOException {
    if (Files.exists(path)) {
      try (Stream<Path> files = Files.walk(path)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.deleteIfExists(file);
        }
      }
    }
  }

  /** Closes a stand-in together with the deployment. */
  public <T extends AutoCloseable> T own(T closeable) {
    closeables.add(closeable);
    return closeable;
  }

  public long millis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  /** Writes a line with the time since the start to record.txt. */
  public synchronized void log(String kind, String text) {
    try {
      record.write(millis() + " " + kind + " " + text + "\n");
      record.flush();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  public boolean isReady(Machine machine) {
    try {
      return Http.call(machine.ip, readyPort(), 1_000, "GET /api/ready HTTP/1.1\r\nHost: x\r\n", "")
              .status
          == 200;
    } catch (IOException e) {
      return false;
    }
  }

  public boolean awaitReady(Machine machine, long timeoutMillis) throws InterruptedException {
    long end = millis() + timeoutMillis;
    while (millis() < end) {
      if (isReady(machine)) {
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  /** Sends an order of the operator to one machine; returns null if there is no answer. */
  public Http.Answer order(Machine machine, String call, String base, String body) {
    String head = "POST /api/rpc?call=" + call + " HTTP/1.1\r\nHost: " + machine.ip + "\r\n";
    head += "Content-Type: application/json\r\n";
    if (base != null) {
      head += "X-Base-Version: " + base + "\r\n";
    }
    Http.Answer answer = null;
    try {
      answer = Http.call(machine.ip, controlPort(), 1_000, head, body);
    } catch (IOException e) {
      // No clear answer.
    }
    log(
        "order",
        call + (base == null ? "" : " base=" + base) + " at " + machine.ip + " -> "
            + (answer == null ? "no answer" : answer.status + version(answer.text())));
    return answer;
  }

  private static String version(String text) {
    int at = text.indexOf("\"version\":\"");
    return at < 0 ? "" : " version=" + text.substring(at + 11, Math.min(text.length(), at + 19));
  }

  /** Sends a configuration to the core machines in turn until it is acknowledged. */
  public boolean replace(String base, String configuration, long timeoutMillis)
      throws InterruptedException {
    long end = millis() + timeoutMillis;
    for (int i = 0; millis() < end; i++) {
      Machine machine = cores.get(i % cores.size());
      if (machine.isAlive()) {
        Http.Answer answer = order(machine, "config.replace", base, configuration);
        if (answer != null && answer.status == 200) {
          return true;
        }
        if (answer != null && answer.status < 500) {
          return false;
        }
      }
      Thread.sleep(100);
    }
    return false;
  }

  @Override
  public void close() {
    for (AutoCloseable closeable : closeables) {
      try {
        closeable.close();
      } catch (Exception e) {
        log("close", e.toString());
      }
    }
    String keep = System.getenv("REVIEW_KEEP_LOGS");
    destroyAll();
    if (keep == null) {
      try {
        deleteTree(folder);
      } catch (IOException e) {
        log("close", e.toString());
      }
    } else {
      log("logs", folder.toString());
    }
  }

  private void destroyAll() {
    for (List<Machine> machines : List.of(cores, sidecars)) {
      for (Machine machine : machines) {
        if (machine.process != null) {
          machine.process.destroyForcibly();
        }
      }
    }
  }

  /** Exit status of a case: 1 if the rule was broken, 0 if it held. */
  public int verdict(boolean broken, String text) {
    log("verdict", (broken ? "BROKEN " : "held ") + text);
    System.out.println((broken ? "BROKEN: " : "held: ") + text);
    return broken ? 1 : 0;
  }

  /** Reads a stream until its end. */
  static byte[] readAll(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    in.transferTo(out);
    return out.toByteArray();
  }

  static byte[] latin1(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  static Socket connect(String ip, int port, int timeoutMillis) throws IOException {
    Socket socket = new Socket();
    socket.connect(new InetSocketAddress(InetAddress.getByName(ip), port), timeoutMillis);
    socket.setTcpNoDelay(true);
    return socket;
  }
}
