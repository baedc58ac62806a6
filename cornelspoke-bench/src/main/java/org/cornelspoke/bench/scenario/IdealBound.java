package org.cornelspoke.bench.scenario;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.Account;

/**
 * Upper bound of the requests that an ideal admission control would complete. In each time slot it
 * allocates the capacity of the services to requests within the rates of their accounts, in the
 * order of the traffic classes, and divides each request type among the accounts by weight.
 * Queueing and the variance of service times are not modelled.
 */
final class IdealBound {

  private record FactorInterval(double factor, double startSecond, double endSecond) {}

  private final Deployment deployment;
  private final Map<String, FactorInterval[]> capacityFactors = new HashMap<>();
  private final Map<String, FactorInterval> workFactors = new HashMap<>();

  IdealBound(Deployment deployment) {
    this.deployment = deployment;
  }

  /** Adds a capacity change; a service has at most two, and the second follows the first. */
  void setCapacityFactor(String service, double factor, double startSecond, double endSecond) {
    FactorInterval interval = new FactorInterval(factor, startSecond, endSecond);
    FactorInterval[] previous = capacityFactors.get(service);
    capacityFactors.put(
        service,
        previous == null
            ? new FactorInterval[] {interval}
            : new FactorInterval[] {previous[0], interval});
  }

  void setWorkFactor(String service, double factor, double startSecond, double endSecond) {
    workFactors.put(service, new FactorInterval(factor, startSecond, endSecond));
  }

  /**
   * Returns the requests that are completed in a time slot, by type and account.
   *
   * @param offered requests within the rates, by type and account
   */
  double[][] completedRequests(double[][] offered, double atSecond, double slotSeconds) {
    Map<String, Double> remaining = new HashMap<>();
    for (Deployment.Service service : deployment.services()) {
      remaining.put(
          service.name(),
          service.targets()
              * service.slots()
              * slotSeconds
              * capacityFactorAt(service.name(), atSecond));
    }
    double[][] result = new double[offered.length][];
    for (TrafficClass trafficClass : TrafficClass.values()) {
      allocateClass(trafficClass, offered, remaining, atSecond, result);
    }
    return result;
  }

  private void allocateClass(
      TrafficClass trafficClass,
      double[][] offered,
      Map<String, Double> remaining,
      double atSecond,
      double[][] result) {
    List<Deployment.RequestType> types = deployment.types();
    Map<String, Double> neededSlotSeconds = new HashMap<>();
    for (int t = 0; t < types.size(); t++) {
      if (types.get(t).trafficClass() == trafficClass) {
        double count = java.util.Arrays.stream(offered[t]).sum();
        slotSecondsByService(types.get(t), atSecond)
            .forEach(
                (service, cost) -> neededSlotSeconds.merge(service, cost * count, Double::sum));
      }
    }
    for (int t = 0; t < types.size(); t++) {
      Deployment.RequestType type = types.get(t);
      if (type.trafficClass() != trafficClass) {
        continue;
      }
      double fraction = 1;
      for (String service : type.chain()) {
        fraction =
            Math.min(
                fraction, remaining.get(service) / Math.max(1e-9, neededSlotSeconds.get(service)));
      }
      double count = java.util.Arrays.stream(offered[t]).sum();
      result[t] = distributeByWeight(offered[t], fraction * count);
    }
    for (int t = 0; t < types.size(); t++) {
      if (types.get(t).trafficClass() == trafficClass) {
        double count = java.util.Arrays.stream(result[t]).sum();
        slotSecondsByService(types.get(t), atSecond)
            .forEach(
                (service, cost) ->
                    remaining.merge(service, -cost * count, (a, b) -> Math.max(0, a + b)));
      }
    }
  }

  /** Returns for each service how long a request holds a slot: its work and the nested calls. */
  private Map<String, Double> slotSecondsByService(Deployment.RequestType type, double atSecond) {
    Map<String, Double> result = new HashMap<>();
    double totalSeconds = 0;
    for (int i = type.chain().size() - 1; i >= 0; i--) {
      String service = type.chain().get(i);
      totalSeconds +=
          deployment.service(service).workMillis() * workFactorAt(service, atSecond) / 1000;
      result.put(service, totalSeconds);
    }
    return result;
  }

  private double[] distributeByWeight(double[] offered, double total) {
    double[] allocated = new double[offered.length];
    double remaining = total;
    boolean[] satisfied = new boolean[offered.length];
    while (remaining > 1e-9) {
      double weightSum = 0;
      for (int a = 0; a < offered.length; a++) {
        weightSum += satisfied[a] ? 0 : weight(a);
      }
      if (weightSum == 0) {
        break;
      }
      double distributed = 0;
      for (int a = 0; a < offered.length; a++) {
        if (!satisfied[a]) {
          double increment = Math.min(offered[a] - allocated[a], remaining * weight(a) / weightSum);
          allocated[a] += increment;
          distributed += increment;
          satisfied[a] = offered[a] - allocated[a] < 1e-9;
        }
      }
      remaining -= distributed;
    }
    return allocated;
  }

  private int weight(int account) {
    Account configured = deployment.accounts().get(account);
    return configured.weight();
  }

  private double capacityFactorAt(String service, double atSecond) {
    double factor = 1;
    for (FactorInterval interval : capacityFactors.getOrDefault(service, new FactorInterval[0])) {
      if (atSecond >= interval.startSecond() && atSecond < interval.endSecond()) {
        factor = interval.factor();
      }
    }
    return factor;
  }

  private double workFactorAt(String service, double atSecond) {
    FactorInterval interval = workFactors.get(service);
    return interval != null && atSecond >= interval.startSecond() && atSecond < interval.endSecond()
        ? interval.factor()
        : 1;
  }
}
