package org.cornelspoke.bench.consensus;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.codahale.metrics.Snapshot;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.log.Disk;
import org.cornelspoke.state.log.FileDisk;

/**
 * Measures the replicated log with real files and loopback sockets: sync cost, throughput and
 * latency against concurrency, election time and restart time. Prints Markdown tables.
 */
public final class ConsensusBench {

  private static final int NO_SNAPSHOTS = Integer.MAX_VALUE;
  private static final int SNAPSHOT_INTERVAL_ENTRIES = 10_000;
  private static final int RESTART_LOAD_CONCURRENCY = 512;

  @Parameter(names = "--folder", required = true, description = "empty folder for data files")
  private String folder;

  @Parameter(names = "--seconds", description = "recorded time per load step")
  private double seconds = 5;

  @Parameter(names = "--command-bytes", description = "size of a command")
  private int commandBytes = 200;

  @Parameter(names = "--concurrency", description = "outstanding proposals per load step")
  private List<Integer> concurrency = new ArrayList<>(List.of(1, 8, 64, 256, 1024));

  @Parameter(names = "--syncs", description = "syncs per record size")
  private int syncs = 300;

  @Parameter(names = "--elections", description = "repetitions of the loss of the leader")
  private int elections = 20;

  @Parameter(names = "--restart-entries", description = "entries before a restart")
  private List<Integer> restartEntries = new ArrayList<>(List.of(1_000, 10_000, 100_000));

  private ConsensusBench() {}

  /** Runs all measurements; exits with code 2 on a usage error. */
  public static void main(String[] args) throws IOException, InterruptedException {
    ConsensusBench bench = new ConsensusBench();
    JCommander parser = JCommander.newBuilder().addObject(bench).build();
    try {
      parser.parse(args);
      bench.checkFolder();
    } catch (ParameterException e) {
      System.err.println(e.getMessage());
      System.exit(2);
    }
    bench.run();
    System.exit(0);
  }

  private void checkFolder() throws IOException {
    Path path = Path.of(folder);
    Files.createDirectories(path);
    try (Stream<Path> files = Files.list(path)) {
      if (files.findAny().isPresent()) {
        throw new ParameterException("--folder: the folder must be empty");
      }
    }
  }

  private void run() throws IOException, InterruptedException {
    measureSyncs();
    measureThroughput();
    measureElections();
    measureRestarts();
  }

  private void measureSyncs() throws IOException {
    print("| record bytes | syncs | p50 ms | p99 ms | max ms |");
    print("|---|---|---|---|---|");
    try (FileDisk disk = new FileDisk(Path.of(folder, "syncs"))) {
      for (int size : new int[] {200, 16 << 10, 1 << 20}) {
        Histogram micros = new Histogram(3);
        try (Disk.File file = disk.create("file-" + size)) {
          byte[] record = new byte[size];
          for (int i = 0; i < syncs; i++) {
            long startNanos = System.nanoTime();
            file.append(record);
            file.sync();
            micros.recordValue((System.nanoTime() - startNanos) / 1000);
          }
        }
        print(
            "| %d | %d | %.2f | %.2f | %.2f |",
            size,
            syncs,
            percentileMillis(micros, 50),
            percentileMillis(micros, 99),
            percentileMillis(micros, 100));
      }
    }
    print("");
  }

  private void measureThroughput() throws IOException, InterruptedException {
    print(
        "| proposer | outstanding | proposals/s | p50 ms | p99 ms | p99.9 ms | entries per sync |"
            + " sync p50 ms | sync p99 ms | failed |");
    print("|---|---|---|---|---|---|---|---|---|---|");
    for (int outstanding : concurrency) {
      measureLoadStep(outstanding, false);
    }
    measureLoadStep(64, true);
    print("");
  }

  /** Starts a new group for each step, so that its sync metrics cover only this step. */
  private void measureLoadStep(int outstanding, boolean forwarded)
      throws IOException, InterruptedException {
    Path path = Path.of(folder, "load-" + outstanding + (forwarded ? "-forwarded" : ""));
    BenchGroup group = new BenchGroup(path, 3, SNAPSHOT_INTERVAL_ENTRIES);
    BenchVm leader = group.awaitLeader();
    BenchVm proposer = forwarded ? group.follower(leader) : leader;
    ProposalLoad load = new ProposalLoad(proposer, commandBytes, outstanding);
    load.runFor(2, seconds);
    Histogram latency = load.latencyMicros();
    Snapshot batches = leader.metrics.histogram("consensus.batch-entries").getSnapshot();
    Snapshot sync = leader.metrics.timer("consensus.sync").getSnapshot();
    print(
        "| %s | %d | %.0f | %.2f | %.2f | %.2f | %.1f | %.2f | %.2f | %d |",
        forwarded ? "follower" : "leader",
        outstanding,
        latency.getTotalCount() / seconds,
        percentileMillis(latency, 50),
        percentileMillis(latency, 99),
        percentileMillis(latency, 99.9),
        batches.getMean(),
        sync.getMedian() / 1e6,
        sync.get99thPercentile() / 1e6,
        load.failures());
    group.stopAll();
  }

  private void measureElections() throws IOException, InterruptedException {
    BenchGroup group = new BenchGroup(Path.of(folder, "elections"), 3, SNAPSHOT_INTERVAL_ENTRIES);
    Histogram micros = new Histogram(3);
    BenchVm leader = group.awaitLeader();
    for (int i = 0; i < elections; i++) {
      group.awaitReplicated(leader);
      VmId stopped = leader.vmId;
      long startNanos = System.nanoTime();
      group.stop(stopped);
      leader = group.awaitLeader();
      micros.recordValue((System.nanoTime() - startNanos) / 1000);
      group.start(stopped);
    }
    print("| leader stops | p50 ms | p90 ms | max ms |");
    print("|---|---|---|---|");
    print(
        "| %d | %.0f | %.0f | %.0f |",
        elections,
        percentileMillis(micros, 50),
        percentileMillis(micros, 90),
        percentileMillis(micros, 100));
    print("");
    group.stopAll();
  }

  private void measureRestarts() throws IOException, InterruptedException {
    print("| entries | snapshots | files read and state restored ms | all applied ms |");
    print("|---|---|---|---|");
    for (int entries : restartEntries) {
      measureRestart(entries, NO_SNAPSHOTS);
      measureRestart(entries, SNAPSHOT_INTERVAL_ENTRIES);
    }
    print("");
  }

  private void measureRestart(int entries, int entriesBetweenSnapshots)
      throws IOException, InterruptedException {
    boolean snapshots = entriesBetweenSnapshots != NO_SNAPSHOTS;
    Path path = Path.of(folder, "restart-" + entries + (snapshots ? "-snapshots" : ""));
    BenchGroup group = new BenchGroup(path, 1, entriesBetweenSnapshots);
    BenchVm vm = group.awaitLeader();
    new ProposalLoad(vm, commandBytes, RESTART_LOAD_CONCURRENCY).runUntilProposed(entries);
    long lastAppliedIndex = vm.call(vm.service::appliedIndex);
    VmId vmId = vm.vmId;
    group.stop(vmId);
    long startNanos = System.nanoTime();
    BenchVm restarted = group.start(vmId);
    long openedNanos = System.nanoTime();
    while (restarted.call(restarted.service::appliedIndex) < lastAppliedIndex) {
      Thread.sleep(1);
    }
    long doneNanos = System.nanoTime();
    print(
        "| %d | %s | %.0f | %.0f |",
        entries,
        snapshots ? "every " + SNAPSHOT_INTERVAL_ENTRIES : "none",
        (openedNanos - startNanos) / 1e6,
        (doneNanos - startNanos) / 1e6);
    group.stopAll();
  }

  private static double percentileMillis(Histogram micros, double percentile) {
    return micros.getValueAtPercentile(percentile) / 1000.0;
  }

  private static void print(String format, Object... args) {
    System.out.println(args.length == 0 ? format : String.format(Locale.ROOT, format, args));
  }
}
