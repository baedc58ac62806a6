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

/** Measures the spread of changes from one relay to growing numbers of daemons. */
public final class DisseminationBench {

  private static final int USAGE_ERROR = 2;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int CHANGE_PAUSE_MILLIS = 20;

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

  /** Result at one number of daemons. */
  private record Row(
      int daemons,
      double p50Millis,
      double p99Millis,
      double worstMillis,
      double bytesPerSecond,
      double daemonCpuPercent,
      double relayCpuPercent,
      double bytesPerChange,
      double daemonCpuMicrosPerChange,
      double relayCpuMicrosPerChange) {}

  /** Runs the measurement; exit code 2 for wrong arguments. */
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
    // The first run warms the compiler up and is not shown.
    measure(daemons.get(0), Math.max(1, steadySeconds / 2));
    List<Row> rows = new ArrayList<>();
    for (int size : daemons) {
      rows.add(measure(size, steadySeconds));
    }
    print(rows);
    fit("in force, 50th (ms)", rows, Row::p50Millis);
    fit("in force, 99th (ms)", rows, Row::p99Millis);
    fit("in force, worst (ms)", rows, Row::worstMillis);
    fit("relay CPU, steady (percent of a core)", rows, Row::relayCpuPercent);
    fit("relay CPU per change (us)", rows, Row::relayCpuMicrosPerChange);
    fit("bytes per daemon per second", rows, Row::bytesPerSecond);
    fit("daemon CPU, steady (percent of a core)", rows, Row::daemonCpuPercent);
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
      double steadyFor = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;

      ConcurrentHistogram micros = new ConcurrentHistogram(3);
      long changesNanos = System.nanoTime();
      for (int i = 0; i < changes; i++) {
        fleet.spread(2 + i, micros);
        Thread.sleep(CHANGE_PAUSE_MILLIS);
      }
      Fleet.Counters end = fleet.counters();
      double changesFor = (System.nanoTime() - changesNanos) / NANOS_PER_SECOND;
      double bytesPerSecond = (steady.bytes() - start.bytes()) / steadyFor;
      double daemonCpu = (steady.daemonCpuNanos() - start.daemonCpuNanos()) / steadyFor;
      double relayCpu = (steady.relayCpuNanos() - start.relayCpuNanos()) / steadyFor;
      return new Row(
          size,
          micros.getValueAtPercentile(50) / 1e3,
          micros.getValueAtPercentile(99) / 1e3,
          micros.getMaxValue() / 1e3,
          bytesPerSecond / size,
          daemonCpu / size / NANOS_PER_SECOND * 100,
          relayCpu / NANOS_PER_SECOND * 100,
          (end.bytes() - steady.bytes() - bytesPerSecond * changesFor) / size / changes,
          (end.daemonCpuNanos() - steady.daemonCpuNanos() - daemonCpu * changesFor)
              / size
              / changes
              / 1e3,
          (end.relayCpuNanos() - steady.relayCpuNanos() - relayCpu * changesFor) / changes / 1e3);
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
          row.worstMillis(),
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

  private void fit(String name, List<Row> rows, ToDoubleFunction<Row> value) {
    List<double[]> points = new ArrayList<>();
    rows.forEach(row -> points.add(new double[] {row.daemons(), value.applyAsDouble(row)}));
    printFit(out, name, points);
  }

  /** Prints the line through the points and the largest distance of a point from it. */
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
