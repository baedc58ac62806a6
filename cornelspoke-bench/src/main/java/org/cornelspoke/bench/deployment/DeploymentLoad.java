package org.cornelspoke.bench.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.cornelspoke.bench.load.LoadPlan;
import org.cornelspoke.util.Assert;

/** Makes the load plan of a deployment from the edges and keys in its run folder. */
final class DeploymentLoad {

  private static final long DEADLINE_MILLIS = 3_000;
  private static final int REQUEST_BODY_BYTES = 200;
  // The first seconds show the start of the virtual machines, not the layer.
  private static final long WARMUP_MILLIS = 4_000;
  private static final double SURGE_FACTOR = 3;

  private final ObjectMapper mapper = new ObjectMapper();
  private final DeploymentSpec spec;
  private final Path folder;

  DeploymentLoad(DeploymentSpec spec, Path folder) {
    this.spec = spec;
    this.folder = folder;
  }

  /**
   * Returns a plan in which the second account sends three times its load in the middle third.
   *
   * @param scale factor on the offered load of every account
   */
  LoadPlan plan(String runId, long seed, long durationMillis, double scale) throws IOException {
    Map<String, List<LoadPlan.Key>> keys = readKeys();
    List<LoadPlan.Caller> accounts = new ArrayList<>();
    for (AccountSpec account : spec.accounts()) {
      List<LoadPlan.Key> own = keys.getOrDefault(account.id(), List.of());
      Assert.isTrue(!own.isEmpty(), "account " + account.id() + " has no key in the run folder");
      accounts.add(
          new LoadPlan.Caller(
              account.id(),
              own,
              account.offered() * scale,
              account.ratePerSecond(),
              account.burst(),
              Map.of()));
    }
    List<LoadPlan.CalledRoute> routes =
        spec.routes().stream()
            .filter(route -> route.weight() > 0)
            .map(DeploymentLoad::called)
            .toList();
    LoadPlan.Phase surge =
        new LoadPlan.Phase(
            durationMillis / 3, durationMillis * 2 / 3, SURGE_FACTOR, spec.accounts().get(1).id());
    return new LoadPlan(
        runId,
        seed,
        durationMillis,
        Math.min(WARMUP_MILLIS, durationMillis / 4),
        Files.readAllLines(folder.resolve("edges")),
        accounts,
        routes,
        new LoadPlan.Retries(3, true, 100),
        List.of(surge));
  }

  private Map<String, List<LoadPlan.Key>> readKeys() throws IOException {
    Map<String, List<LoadPlan.Key>> keys = new TreeMap<>();
    List<Path> files;
    try (Stream<Path> listing = Files.list(folder.resolve("keys"))) {
      files = listing.filter(file -> file.toString().endsWith(".json")).sorted().toList();
    }
    for (Path file : files) {
      JsonNode key = mapper.readTree(file.toFile());
      keys.computeIfAbsent(key.path("account").asText(), id -> new ArrayList<>())
          .add(new LoadPlan.Key(key.path("id").asText(), key.path("key").asText()));
    }
    return keys;
  }

  private static LoadPlan.CalledRoute called(RouteSpec route) {
    return new LoadPlan.CalledRoute(
        route.id(),
        route.method(),
        route.path(),
        route.trafficClass(),
        route.weight(),
        !route.repeatable(),
        route.open(),
        DEADLINE_MILLIS,
        route.method().equals("GET") ? 0 : REQUEST_BODY_BYTES);
  }
}
