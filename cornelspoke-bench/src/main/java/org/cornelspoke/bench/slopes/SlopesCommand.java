package org.cornelspoke.bench.slopes;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.apache.commons.math3.random.Well19937c;
import org.apache.commons.math3.stat.regression.SimpleRegression;
import org.cornelspoke.bench.BenchCommand;
import org.cornelspoke.bench.consensus.ConsensusBench;
import org.cornelspoke.bench.dissemination.DisseminationBench;

/** Measures how the costs of rate shares, configuration changes or the replicated log grow. */
@Parameters(commandDescription = "measure how costs grow with the fleet")
public final class SlopesCommand implements BenchCommand {

  @Parameter(names = "--part", description = "shares, spread or consensus")
  private String selectedPart = "shares";

  @Parameter(names = "--seed", description = "seed of the arrivals")
  private int seed = 1;

  @Parameter(names = "--seconds", description = "virtual seconds that are counted")
  private int seconds = 10;

  @Parameter(names = "--calls-per-second", description = "root calls at each daemon")
  private double callsPerSecond = 80;

  @Parameter(description = "arguments after -- go to the part")
  private List<String> partArguments = new ArrayList<>();

  private final PrintStream out = System.out;

  /** The counts at one fleet size. */
  private record Row(ShareFleet.Size size, ShareFleet.Totals totals, int seconds) {

    double perDaemon(long total) {
      return (double) total / seconds / size.daemons();
    }
  }

  @Override
  public String name() {
    return "slopes";
  }

  @Override
  public int run() throws Exception {
    String[] arguments = partArguments.toArray(new String[0]);
    switch (selectedPart) {
      case "shares" -> measureShares();
      case "spread" -> DisseminationBench.main(arguments);
      case "consensus" -> ConsensusBench.main(arguments);
      default -> throw new IllegalArgumentException("--part: must be shares, spread or consensus");
    }
    return 0;
  }

  private void measureShares() {
    out.printf("rate shares, %.0f calls/s at each daemon, seed %d%n%n", callsPerSecond, seed);
    printHeader();
    List<Row> byAccounts =
        List.of(1, 2, 4, 8, 16).stream()
            .map(accounts -> measure(new ShareFleet.Size(3, 20, accounts, callsPerSecond)))
            .toList();
    out.println();
    printFit("bytes/s per daemon over active accounts", byAccounts, r -> r.size().accounts());
    printMessageKinds(byAccounts);
    out.println();
    printHeader();
    List<Row> byDaemons =
        List.of(20, 40, 80, 160).stream()
            .map(perRelay -> measure(new ShareFleet.Size(3, perRelay, 4, callsPerSecond)))
            .toList();
    out.println();
    printFit("bytes/s per daemon over daemons", byDaemons, r -> r.size().daemons());
  }

  private void printHeader() {
    out.println(
        "| relays | daemons | active accounts | bytes/s per daemon | messages/s per daemon"
            + " | daemon CPU (core percent) | CPU of each relay (core percent)"
            + " | owner bytes/s per relay | owner CPU (core percent) | refused of calls |");
    out.println("|---|---|---|---|---|---|---|---|---|---|");
  }

  private Row measure(ShareFleet.Size size) {
    // Longer than the quiet period, in which a new owner grants no shares.
    int warmUpSeconds = 8;
    ShareFleet.Totals totals =
        new ShareFleet(size, new Well19937c(seed)).run(warmUpSeconds, seconds);
    Row row = new Row(size, totals, seconds);
    double corePercentPerNano = 100 / 1e9;
    out.printf(
        Locale.ROOT,
        "| %d | %d | %d | %.0f | %.1f | %.3f | %.2f | %.0f | %.2f | %d of %d |%n",
        size.relays(),
        size.daemons(),
        size.accounts(),
        row.perDaemon(totals.daemonBytes),
        row.perDaemon(totals.daemonMessages),
        row.perDaemon(totals.daemonCpuNanos) * corePercentPerNano,
        (double) totals.relayCpuNanos / seconds / size.relays() * corePercentPerNano,
        (double) totals.relayOwnerBytes / seconds / size.relays(),
        (double) totals.ownerCpuNanos / seconds * corePercentPerNano,
        totals.refused,
        totals.refused + totals.granted);
    return row;
  }

  /** Prints messages/s per daemon and active account between daemon and relay, by message type. */
  private void printMessageKinds(List<Row> rows) {
    for (Row row : rows) {
      out.printf(Locale.ROOT, "%d active accounts, messages/s of each:", row.size().accounts());
      row.totals()
          .daemonMessagesByKind
          .forEach(
              (kind, count) ->
                  out.printf(
                      Locale.ROOT, " %s %.1f", kind, row.perDaemon(count) / row.size().accounts()));
      out.println();
    }
  }

  private void printFit(String label, List<Row> rows, ToDoubleFunction<Row> size) {
    SimpleRegression regression = new SimpleRegression();
    for (Row row : rows) {
      regression.addData(size.applyAsDouble(row), row.perDaemon(row.totals().daemonBytes));
    }
    out.printf(
        Locale.ROOT,
        "%s: %.1f + %.3f n, residual %.1f, R2 %.4f%n",
        label,
        regression.getIntercept(),
        regression.getSlope(),
        Math.sqrt(regression.getMeanSquareError()),
        regression.getRSquare());
  }
}
