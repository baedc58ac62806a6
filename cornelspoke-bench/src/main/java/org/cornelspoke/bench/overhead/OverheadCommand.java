package org.cornelspoke.bench.overhead;

import com.beust.jcommander.DynamicParameter;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.cornelspoke.bench.BenchCommand;
import org.cornelspoke.bench.load.LoadPlan;
import org.cornelspoke.bench.load.LoadRun;
import org.cornelspoke.model.TrafficClass;

/** Calls an upstream directly and through daemons, in turn, and compares latency and CPU time. */
@Parameters(commandDescription = "Compare calls with and without daemons (see bin/bench overhead)")
public final class OverheadCommand implements BenchCommand {

  private static final long DEADLINE_MILLIS = 5_000;
  private static final double UNLIMITED_PER_SECOND = 1e9;

  @DynamicParameter(
      names = "--path.",
      description = "address of each path, for example --path.direct=127.0.0.1:7001")
  private Map<String, String> addresses = new LinkedHashMap<>();

  @DynamicParameter(
      names = "--pid.",
      description = "process ids, for example --pid.daemon=123; their CPU time is reported")
  private Map<String, String> pids = new TreeMap<>();

  @Parameter(names = "--request-path", description = "path of the calls")
  private String requestPath = "/called";

  @Parameter(names = "--key", description = "client key, for the paths through daemons")
  private String key;

  @Parameter(names = "--rate", description = "calls per second on each path")
  private double rate = 1_000;

  @Parameter(names = "--rounds", description = "rounds; each measures every path once")
  private int rounds = 8;

  @Parameter(names = "--slice-millis", description = "time for one path in one round")
  private long sliceMillis = 2_000;

  @Parameter(names = "--warmup-rounds", description = "rounds that are not counted")
  private int warmupRounds = 3;

  @Parameter(names = "--seed", description = "seed of the arrivals and of the order of paths")
  private long seed = 1;

  @Parameter(names = "--json", description = "file for the results as JSON")
  private String jsonFile;

  @Override
  public String name() {
    return "overhead";
  }

  @Override
  public int run() throws IOException {
    if (!addresses.containsKey(OverheadReport.DIRECT)) {
      throw new IllegalArgumentException("--path.direct: missing");
    }
    Map<String, PathResult> results = new LinkedHashMap<>();
    addresses.keySet().forEach(path -> results.put(path, new PathResult()));
    Random random = new Random(seed);
    for (int round = -warmupRounds; round < rounds; round++) {
      List<String> order = new ArrayList<>(addresses.keySet());
      Collections.shuffle(order, random);
      for (String path : order) {
        PathResult target = round < 0 ? new PathResult() : results.get(path);
        measure(path, random.nextLong(), target);
      }
      System.out.println((round < 0 ? "warm-up" : "round " + (round + 1)) + " done");
    }
    OverheadReport report = new OverheadReport(results);
    System.out.print(report.text());
    if (jsonFile != null) {
      new ObjectMapper()
          .writerWithDefaultPrettyPrinter()
          .writeValue(Path.of(jsonFile).toFile(), report.asMap());
    }
    return 0;
  }

  private void measure(String path, long sliceSeed, PathResult target) throws IOException {
    Map<String, Long> before = cpu();
    // Each slice opens connections of its own, so its first tenth is left out of the latencies.
    LoadRun run = new LoadRun(plan(path, sliceSeed), attempt -> {}, true, line -> {});
    LoadRun.Result result = run.run();
    target.addRound(result.latencyMicros(), result.offered(), result.completed());
    Map<String, Long> after = cpu();
    after.forEach((process, micros) -> target.addCpu(process, micros - before.get(process)));
  }

  private LoadPlan plan(String path, long sliceSeed) {
    boolean keyed = key != null && !path.equals(OverheadReport.DIRECT);
    List<LoadPlan.Key> keys = keyed ? List.of(new LoadPlan.Key("key", key)) : List.of();
    return new LoadPlan(
        "overhead",
        sliceSeed,
        sliceMillis,
        sliceMillis / 10,
        List.of(addresses.get(path)),
        List.of(
            new LoadPlan.Caller(
                "caller", keys, rate, UNLIMITED_PER_SECOND, UNLIMITED_PER_SECOND, Map.of())),
        List.of(
            new LoadPlan.CalledRoute(
                "called",
                "GET",
                requestPath,
                TrafficClass.CRITICAL,
                1,
                false,
                !keyed,
                DEADLINE_MILLIS,
                0)),
        null,
        null);
  }

  private Map<String, Long> cpu() throws IOException {
    Map<String, Long> micros = new TreeMap<>();
    for (Map.Entry<String, String> process : pids.entrySet()) {
      micros.put(process.getKey(), ProcessCpu.micros(Long.parseLong(process.getValue())));
    }
    return micros;
  }
}
