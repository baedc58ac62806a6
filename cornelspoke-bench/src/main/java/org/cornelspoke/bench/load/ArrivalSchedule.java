package org.cornelspoke.bench.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/**
 * Poisson arrivals of every account in the order of time. The same plan gives the same arrivals,
 * and what one account sends does not depend on the other accounts.
 */
final class ArrivalSchedule {

  private static final double NANOS_PER_MILLI = 1e6;

  private final LoadPlan plan;
  private final PriorityQueue<Source> sources =
      new PriorityQueue<>(
          Comparator.comparingDouble((Source source) -> source.nextMillis)
              .thenComparing(source -> source.account.id()));
  private long sequence;

  ArrivalSchedule(LoadPlan plan) {
    this.plan = plan;
    List<LoadPlan.Caller> accounts = plan.accounts();
    for (int i = 0; i < accounts.size(); i++) {
      Source source = new Source(accounts.get(i), plan.seed() * 1_000_003 + i);
      source.advance();
      sources.add(source);
    }
  }

  /** Returns the next arrival, or empty at the end of the run. */
  Optional<Arrival> next() {
    Source source = sources.remove();
    if (source.nextMillis >= plan.durationMillis()) {
      sources.add(source);
      return Optional.empty();
    }
    long atNanos = (long) (source.nextMillis * NANOS_PER_MILLI);
    LoadPlan.CalledRoute route = source.drawRoute();
    String edge = plan.edges().get(source.random.nextInt(plan.edges().size()));
    source.advance();
    sources.add(source);
    return Optional.of(new Arrival(sequence++, atNanos, source.account, route, edge));
  }

  private final class Source {

    private final LoadPlan.Caller account;
    private final RandomGenerator random;
    private final double maxFactor;
    private final List<Double> weights = new ArrayList<>();
    private double weightSum;
    private double nextMillis;

    private Source(LoadPlan.Caller account, long seed) {
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

    /** Draws candidates at the highest rate and keeps the part that the phase asks for. */
    private void advance() {
      double perMilli = account.offeredPerSecond() * maxFactor / 1000;
      do {
        nextMillis += -Math.log(1 - random.nextDouble()) / perMilli;
      } while (nextMillis < plan.durationMillis()
          && random.nextDouble() * maxFactor >= plan.factor(account.id(), nextMillis));
    }

    private LoadPlan.CalledRoute drawRoute() {
      double mark = random.nextDouble() * weightSum;
      for (int i = 0; i < weights.size() - 1; i++) {
        mark -= weights.get(i);
        if (mark < 0) {
          return plan.routes().get(i);
        }
      }
      return plan.routes().get(weights.size() - 1);
    }
  }
}
