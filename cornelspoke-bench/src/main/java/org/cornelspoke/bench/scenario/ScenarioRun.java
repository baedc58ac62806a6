package org.cornelspoke.bench.scenario;

import org.apache.commons.math3.random.Well19937c;

/** Runs one scenario once. */
final class ScenarioRun {

  private ScenarioRun() {}

  static Measurements run(Deployment deployment, Scenario scenario, Variant variant, int seed) {
    VirtualTime time = new VirtualTime();
    Cluster cluster = new Cluster(time, deployment, variant, new Well19937c(seed));
    Measurements measurements = new Measurements(deployment, scenario);
    Clients clients = new Clients(cluster, measurements);
    IdealBound ideal = new IdealBound(deployment);
    scenario.schedule(cluster, clients, ideal);
    time.runUntil((long) (Scenario.END * VirtualTime.SECOND));
    measurements.setIdeal(ideal);
    return measurements;
  }
}
