package org.cornelspoke.bench.dissemination;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.ConcurrentHistogram;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/** Measures how changes propagate from one relay to growing numbers of daemons. */
public final class DisseminationBench {

  private static final int USAGE_ERROR = 2;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int CHANGE_INTERVAL_MILLIS = 20;

  @Parameter(names = "--daemons", description = "numbers of daemons to measure")
  private List<Integer> daemons = List.of(50, 100, 200, 400);

  @Parameter(names = "--changes", description = "changes to spread at each size")
  private int changes = 200;

  @Parameter(names = "--steady-seconds", description = "length of the steady state")
  private int steadySeconds = 10;

  @Parameter(names = "--accounts", description = "accounts in the configuration")
  private int accounts = 8;

  @Parameter(names = "--keys", description = "keys in the configuration")
  private int keys = 80;

  @Parameter(names = "--entities", description = "numbers of keys or targets for memory")
  private List<Integer> entities = List.of(10_000, 20_000, 40_000, 80_000);

  @Parameter(names = "--help", help = true)
  private boolean help;

  private final PrintStream out = System.out;

  private DisseminationBench() {}

  /** Results for one number of daemons. */
  private record Row(
      int daemons,
      double p50Millis,
      double p99Millis,
      double maxMillis,
      double bytesPerSecond,
      double daemonCpuPercent,
      double relayCpuPercent,
      double bytesPerChange,
      double daemonCpuMicrosPerChange,
      double relayCpuMicrosPerChange) {}

  /** Runs the measurement; exits with code 2 on a usage error. */
  public static void main(String[] args) throws Exception {
    DisseminationBench bench = new DisseminationBench();
    JCommander commander = JCommander.newBuilder().addObject(bench).build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println(e.getMessage());
      System.exit(USAGE_ERROR);
    }
    if (bench.help) {
      commander.usage();
      return;
    }
    bench.run();
  }

  private void run() throws Exception {
    // The first run lets the JIT compiler warm up; its results are discarded.
    measure(daemons.get(0), Math.max(1, steadySeconds / 2));
    List<Row> rows = new ArrayList<>();
    for (int size : daemons) {
      rows.add(measure(size, steadySeconds));
    }
    print(rows);
    printDaemonFit("in force, 50th (ms)", rows, Row::p50Millis);
    printDaemonFit("in force, 99th (ms)", rows, Row::p99Millis);
    printDaemonFit("in force, worst (ms)", rows, Row::maxMillis);
    printDaemonFit("relay CPU, steady (percent of a core)", rows, Row::relayCpuPercent);
    printDaemonFit("relay CPU per change (us)", rows, Row::relayCpuMicrosPerChange);
    printDaemonFit("bytes per daemon per second", rows, Row::bytesPerSecond);
    printDaemonFit("daemon CPU, steady (percent of a core)", rows, Row::daemonCpuPercent);
    new MemoryMeasurement(out).run(entities);
  }

  private Row measure(int size, int seconds) throws Exception {
    Fleet fleet = new Fleet(size, accounts, keys);
    try {
      Thread.sleep(1_000);
      Fleet.Counters start = fleet.counters();
      long startNanos = System.nanoTime();
      Thread.sleep(seconds * 1_000L);
      Fleet.Counters steady = fleet.counters();
      double steadyDurationSeconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;

      ConcurrentHistogram latencyMicros = new ConcurrentHistogram(3);
      long changesStartNanos = System.nanoTime();
      for (int i = 0; i < changes; i++) {
        fleet.applyAndAwait(2 + i, latencyMicros);
        Thread.sleep(CHANGE_INTERVAL_MILLIS);
      }
      Fleet.Counters end = fleet.counters();
      double changesDurationSeconds = (System.nanoTime() - changesStartNanos) / NANOS_PER_SECOND;
      double bytesPerSecond = (steady.bytes() - start.bytes()) / steadyDurationSeconds;
      double daemonCpuNanosPerSecond =
          (steady.daemonCpuNanos() - start.daemonCpuNanos()) / steadyDurationSeconds;
      double relayCpuNanosPerSecond =
          (steady.relayCpuNanos() - start.relayCpuNanos()) / steadyDurationSeconds;
      return new Row(
          size,
          latencyMicros.getValueAtPercentile(50) / 1e3,
          latencyMicros.getValueAtPercentile(99) / 1e3,
          latencyMicros.getMaxValue() / 1e3,
          bytesPerSecond / size,
          daemonCpuNanosPerSecond / size / NANOS_PER_SECOND * 100,
          relayCpuNanosPerSecond / NANOS_PER_SECOND * 100,
          (end.bytes() - steady.bytes() - bytesPerSecond * changesDurationSeconds) / size / changes,
          (end.daemonCpuNanos()
                  - steady.daemonCpuNanos()
                  - daemonCpuNanosPerSecond * changesDurationSeconds)
              / size
              / changes
              / 1e3,
          (end.relayCpuNanos()
                  - steady.relayCpuNanos()
                  - relayCpuNanosPerSecond * changesDurationSeconds)
              / changes
              / 1e3);
    } finally {
      fleet.stop();
    }
  }

  private void print(List<Row> rows) {
    out.println(
        "| daemons | in force p50 (ms) | p99 (ms) | worst (ms) | bytes/s per daemon "
            + "| daemon CPU (percent of a core) | relay CPU (percent of a core) "
            + "| bytes per change and daemon | daemon CPU per change (us) "
            + "| relay CPU per change (us) |");
    out.println("|---|---|---|---|---|---|---|---|---|---|");
    for (Row row : rows) {
      out.printf(
          Locale.ROOT,
          "| %d | %.2f | %.2f | %.2f | %.0f | %.3f | %.2f | %.0f | %.0f | %.0f |%n",
          row.daemons(),
          row.p50Millis(),
          row.p99Millis(),
          row.maxMillis(),
          row.bytesPerSecond(),
          row.daemonCpuPercent(),
          row.relayCpuPercent(),
          row.bytesPerChange(),
          row.daemonCpuMicrosPerChange(),
          row.relayCpuMicrosPerChange());
    }
    out.println();
    out.println("| quantity | intercept | slope per item | R squared | largest residual |");
    out.println("|---|---|---|---|---|");
  }

  private void printDaemonFit(String name, List<Row> rows, ToDoubleFunction<Row> value) {
    List<double[]> points = new ArrayList<>();
    rows.forEach(row -> points.add(new double[] {row.daemons(), value.applyAsDouble(row)}));
    printFit(out, name, points);
  }

  /** Prints the linear regression of the points and the largest residual. */
  static void printFit(PrintStream out, String name, List<double[]> points) {
    SimpleRegression regression = new SimpleRegression();
    points.forEach(point -> regression.addData(point[0], point[1]));
    double residual = 0;
    for (double[] point : points) {
      residual = Math.max(residual, Math.abs(point[1] - regression.predict(point[0])));
    }
    out.printf(
        Locale.ROOT,
        "| %s | %.4g | %.4g | %.4f | %.4g |%n",
        name,
        regression.getIntercept(),
        regression.getSlope(),
        regression.getRSquare(),
        residual);
  }
}
