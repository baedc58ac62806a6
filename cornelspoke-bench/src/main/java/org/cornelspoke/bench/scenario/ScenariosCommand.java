package org.cornelspoke.bench.scenario;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.cornelspoke.bench.BenchCommand;
import org.cornelspoke.coordination.admission.LimitAlgorithm;
import org.cornelspoke.model.TrafficClass;

/** Command {@code scenarios}: runs overload scenarios in virtual time and prints the results. */
@Parameters(commandDescription = "run overload scenarios in virtual time")
public final class ScenariosCommand implements BenchCommand {

  private static final String ALL = "all";

  @Parameter(names = "--seed", description = "seed of all random numbers")
  private int seed = 1;

  @Parameter(names = "--deployment", description = "cooperative, softwarehouse or all")
  private String deployment = ALL;

  @Parameter(names = "--scenario", description = "name of a scenario, or all")
  private String scenario = ALL;

  @Parameter(names = "--limits", description = "compares all limit algorithms")
  private boolean compareLimits;

  @Parameter(names = "--accounts", description = "prints a line for each account")
  private boolean printAccounts;

  @Override
  public String name() {
    return "scenarios";
  }

  @Override
  public int run() {
    printAll();
    return 0;
  }

  private void printAll() {
    System.out.println(
        "deployment     scenario          variant   class1  class2  class3  total"
            + "   recover  worst   wrongful  overbound  late");
    List<String> deployments =
        deployment.equals(ALL) ? List.of("cooperative", "softwarehouse") : List.of(deployment);
    List<Scenario> scenarios =
        scenario.equals(ALL)
            ? List.of(Scenario.values())
            : List.of(Scenario.valueOf(scenario.toUpperCase(Locale.ROOT).replace('-', '_')));
    for (String name : deployments) {
      for (Scenario selected : scenarios) {
        for (Variant variant : variants()) {
          print(Deployment.of(name), selected, variant);
        }
      }
    }
  }

  private List<Variant> variants() {
    List<Variant> variants = new ArrayList<>();
    variants.add(Variant.NAIVE);
    if (compareLimits) {
      for (LimitAlgorithm algorithm : LimitAlgorithm.values()) {
        variants.add(new Variant(false, algorithm));
      }
    } else {
      variants.add(new Variant(false, LimitAlgorithm.DEFAULT));
    }
    return variants;
  }

  private void print(Deployment model, Scenario selected, Variant variant) {
    Measurements measurements = ScenarioRun.run(model, selected, variant, seed);
    System.out.printf(
        Locale.ROOT,
        "%-14s %-17s %-9s %6.3f  %6.3f  %6.3f  %6.3f  %5.1f s  %6.3f  %7.3f%%  %9d  %4d%n",
        model.name(),
        selected.name().toLowerCase(Locale.ROOT),
        variant.label(),
        measurements.classRatio(TrafficClass.CRITICAL),
        measurements.classRatio(TrafficClass.INTERACTIVE),
        measurements.classRatio(TrafficClass.BULK),
        measurements.totalRatio(),
        measurements.recoverySeconds(),
        measurements.worstAccountRatio(),
        measurements.wrongfulRefusalRatio() * 100,
        measurements.admissionsOverBound(),
        measurements.admissionsAfterWithdrawal());
    for (int a = 0; printAccounts && a < model.accounts().size(); a++) {
      System.out.printf(
          Locale.ROOT,
          "  %-12s %6.3f of its fair share%n",
          model.accounts().get(a).id(),
          measurements.accountRatio(a));
    }
  }
}
