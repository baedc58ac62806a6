package org.cornelspoke.bench.deployment;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;

/**
 * Writes the files of a deployment into a run folder: settings of the daemons, the configuration of
 * the stand-ins, arguments for {@code cornelspokectl}, and the names and addresses that the scripts
 * need.
 */
final class DeploymentFiles {

  static final int CONTROL_VMS = 3;
  private static final int PORTS_PER_CONTROL = 3;
  private static final int PORTS_PER_TARGET = 6;
  private static final int ROUTE_TIMEOUT_MILLIS = 5_000;
  private static final int LEASE_MILLIS = 10_000;
  private static final int BODY_BYTES = 512;
  private static final int TOKEN_BYTES = 24;

  private final ObjectMapper mapper = new ObjectMapper();
  private final DeploymentSpec spec;
  private final Path folder;
  private final int keysPerAccount;
  private final Iterator<Integer> ports;
  private final StringBuilder processes = new StringBuilder();
  private final List<Map<String, Object>> controls = new ArrayList<>();
  private final List<String> edges = new ArrayList<>();

  DeploymentFiles(DeploymentSpec spec, Path folder, int keysPerAccount, Random random) {
    this.spec = spec;
    this.folder = folder;
    this.keysPerAccount = keysPerAccount;
    int targets = spec.services().stream().mapToInt(ServiceSpec::targets).sum();
    this.ports =
        FreePorts.find(CONTROL_VMS * PORTS_PER_CONTROL + targets * PORTS_PER_TARGET, random)
            .iterator();
  }

  /** Writes every file. */
  void write() throws IOException {
    Files.createDirectories(folder);
    writeControls(writeToken());
    for (ServiceSpec service : spec.services()) {
      writeService(service);
    }
    write("processes.tsv", processes.toString());
    write("edges", String.join("\n", edges) + "\n");
    write("admin-endpoints", String.join(",", addresses("adminAddress")) + "\n");
    writeCommands();
  }

  /** Writes the operator's token and returns its hash. */
  private String writeToken() throws IOException {
    byte[] random = new byte[TOKEN_BYTES];
    new SecureRandom().nextBytes(random);
    String token = HexFormat.of().formatHex(random);
    Path file = folder.resolve("operator-token");
    Files.deleteIfExists(file);
    Files.createFile(
        file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
    Files.writeString(file, token + "\n");
    try {
      byte[] hash =
          MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(hash);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  private void writeControls(String tokenHash) throws IOException {
    for (int i = 0; i < CONTROL_VMS; i++) {
      Map<String, Object> settings = new LinkedHashMap<>();
      settings.put("role", "control");
      settings.put("vmId", "control-" + (i + 1));
      settings.put("dataCentre", dataCentre(i));
      settings.put("relayAddress", nextAddress());
      settings.put("peerAddress", nextAddress());
      settings.put("adminAddress", nextAddress());
      settings.put("dataFolder", folder.resolve("data-control-" + (i + 1)).toString());
      controls.add(settings);
    }
    for (Map<String, Object> own : controls) {
      Map<String, Object> settings = new LinkedHashMap<>(own);
      settings.put(
          "peers", controls.stream().filter(other -> other != own).map(this::peer).toList());
      settings.put("bootstrapOperator", Map.of("id", "admin", "tokenHashHex", tokenHash));
      String name = String.valueOf(own.get("vmId"));
      writeJson(name + ".json", settings);
      addProcess("control", name, String.valueOf(own.get("adminAddress")), "-");
    }
  }

  private Map<String, Object> peer(Map<String, Object> settings) {
    Map<String, Object> peer = new LinkedHashMap<>();
    for (String field : List.of("vmId", "peerAddress", "relayAddress", "adminAddress")) {
      peer.put(field, settings.get(field));
    }
    return peer;
  }

  private void writeService(ServiceSpec service) throws IOException {
    List<Map<String, Object>> upstreams = new ArrayList<>();
    for (int i = 0; i < service.targets(); i++) {
      String name = service.name() + "-" + (i + 1);
      Map<String, Object> settings = new LinkedHashMap<>();
      settings.put("role", "traffic");
      settings.put("daemonId", name);
      settings.put("dataCentre", dataCentre(i));
      settings.put("edgeAddress", nextAddress());
      settings.put("linkAddress", nextAddress());
      settings.put("localAddress", nextAddress());
      settings.put("adminAddress", nextAddress());
      settings.put("controlEndpoints", addresses("relayAddress"));
      writeJson(name + ".json", settings);
      edges.add(String.valueOf(settings.get("edgeAddress")));
      addProcess("traffic", name, String.valueOf(settings.get("adminAddress")), service.name());
      upstreams.add(upstream(service, name, settings, i));
    }
    writeJson("upstream-" + service.name() + ".json", upstreams);
    String control = String.valueOf(upstreams.get(0).get("controlAddress"));
    addProcess("upstream", "upstream-" + service.name(), control, service.name());
  }

  private Map<String, Object> upstream(
      ServiceSpec service, String name, Map<String, Object> daemon, int index) {
    Map<String, Object> behaviour = new LinkedHashMap<>();
    behaviour.put("slots", service.slots());
    behaviour.put("serviceMillis", service.serviceMillis());
    behaviour.put("bodyBytes", BODY_BYTES);
    behaviour.put("nestedCalls", service.nestedCalls());
    Map<String, Object> config = new LinkedHashMap<>();
    config.put("name", name);
    config.put("service", service.name());
    config.put("address", nextAddress());
    config.put("controlAddress", nextAddress());
    config.put("announceAddress", daemon.get("localAddress"));
    config.put("edgeAddress", daemon.get("edgeAddress"));
    String log = folder.resolve("requests-" + name + ".jsonl").toString();
    config.put("logFile", spec.requestLog() ? log : null);
    config.put("seed", index + 1);
    config.put("leaseMillis", LEASE_MILLIS);
    config.put("behaviour", behaviour);
    return config;
  }

  /** Writes one line of arguments for each call of {@code cornelspokectl}. */
  private void writeCommands() throws IOException {
    StringBuilder first = new StringBuilder();
    StringBuilder keys = new StringBuilder();
    for (AccountSpec account : spec.accounts()) {
      first.append(
          String.format(
              "account create %s --rate %s --burst %s --weight %d%n",
              account.id(), account.ratePerSecond(), account.burst(), account.weight()));
      for (int i = 1; i <= keysPerAccount; i++) {
        keys.append(account.id()).append(' ').append(account.id()).append('-').append(i);
        keys.append('\n');
      }
    }
    for (RouteSpec route : spec.routes()) {
      first.append(
          String.format(
              "route set %s --method %s --path %s --service %s --class %s"
                  + " --route-timeout-millis %d%s%s%n",
              route.id(),
              route.method(),
              route.path(),
              route.service(),
              route.trafficClass().name().toLowerCase(Locale.ROOT),
              ROUTE_TIMEOUT_MILLIS,
              route.open() ? " --open" : "",
              route.repeatable() ? " --repeatable" : ""));
    }
    write("ctl-commands", first.toString());
    write("ctl-keys", keys.toString());
  }

  private void addProcess(String role, String name, String admin, String service) {
    processes.append(String.join("\t", role, name, admin, service)).append('\n');
  }

  private List<String> addresses(String field) {
    return controls.stream().map(settings -> String.valueOf(settings.get(field))).toList();
  }

  private String dataCentre(int index) {
    return spec.dataCentres().get(index % spec.dataCentres().size());
  }

  private String nextAddress() {
    return "127.0.0.1:" + ports.next();
  }

  private void writeJson(String file, Object value) throws IOException {
    write(file, mapper.writerWithDefaultPrettyPrinter().writeValueAsString(value) + "\n");
  }

  private void write(String file, String text) throws IOException {
    Files.writeString(folder.resolve(file), text);
  }
}
