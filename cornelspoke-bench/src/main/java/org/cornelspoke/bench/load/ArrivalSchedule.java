package org.cornelspoke.bench.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/**
 * Poisson arrivals of all accounts in chronological order. The same plan gives the same arrivals,
 * and the arrivals of one account do not depend on the other accounts.
 */
final class ArrivalSchedule {

  private static final double NANOS_PER_MILLI = 1e6;

  private final LoadPlan plan;
  private final PriorityQueue<AccountArrivals> accountsByNextArrival =
      new PriorityQueue<>(
          Comparator.comparingDouble(
                  (AccountArrivals accountArrivals) -> accountArrivals.nextMillis)
              .thenComparing(accountArrivals -> accountArrivals.account.id()));
  private long sequence;

  ArrivalSchedule(LoadPlan plan) {
    this.plan = plan;
    List<LoadPlan.Caller> accounts = plan.accounts();
    for (int i = 0; i < accounts.size(); i++) {
      AccountArrivals accountArrivals =
          new AccountArrivals(accounts.get(i), plan.seed() * 1_000_003 + i);
      accountArrivals.advance();
      accountsByNextArrival.add(accountArrivals);
    }
  }

  /** Returns the next arrival, or empty at the end of the run. */
  Optional<Arrival> next() {
    AccountArrivals accountArrivals = accountsByNextArrival.remove();
    if (accountArrivals.nextMillis >= plan.durationMillis()) {
      accountsByNextArrival.add(accountArrivals);
      return Optional.empty();
    }
    long atNanos = (long) (accountArrivals.nextMillis * NANOS_PER_MILLI);
    LoadPlan.CalledRoute route = accountArrivals.drawRoute();
    String edge = plan.edges().get(accountArrivals.random.nextInt(plan.edges().size()));
    accountArrivals.advance();
    accountsByNextArrival.add(accountArrivals);
    return Optional.of(new Arrival(sequence++, atNanos, accountArrivals.account, route, edge));
  }

  private final class AccountArrivals {

    private final LoadPlan.Caller account;
    private final RandomGenerator random;
    private final double maxFactor;
    private final List<Double> weights = new ArrayList<>();
    private double weightSum;
    private double nextMillis;

    private AccountArrivals(LoadPlan.Caller account, long seed) {
      this.account = account;
      this.random = new Well19937c(seed);
      double factor = 1;
      for (LoadPlan.Phase phase : plan.phases()) {
        factor *= Math.max(1, phase.factor());
      }
      this.maxFactor = factor;
      for (LoadPlan.CalledRoute route : plan.routes()) {
        double weight = account.routeWeights().getOrDefault(route.name(), route.weight());
        weights.add(weight);
        weightSum += weight;
      }
    }

    /** Draws candidates at the maximum rate and thins them out to the rate of the current phase. */
    private void advance() {
      double maxArrivalsPerMilli = account.offeredPerSecond() * maxFactor / 1000;
      do {
        nextMillis += -Math.log(1 - random.nextDouble()) / maxArrivalsPerMilli;
      } while (nextMillis < plan.durationMillis()
          && random.nextDouble() * maxFactor >= plan.factor(account.id(), nextMillis));
    }

    private LoadPlan.CalledRoute drawRoute() {
      double remainingWeight = random.nextDouble() * weightSum;
      for (int i = 0; i < weights.size() - 1; i++) {
        remainingWeight -= weights.get(i);
        if (remainingWeight < 0) {
          return plan.routes().get(i);
        }
      }
      return plan.routes().get(weights.size() - 1);
    }
  }
}
