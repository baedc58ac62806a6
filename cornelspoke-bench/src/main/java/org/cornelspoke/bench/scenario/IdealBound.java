package org.cornelspoke.bench.scenario;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.Account;

/**
 * What an ideal control would complete: per time slot it fills the slots of the services with
 * requests within their accounts' rates, class by class, and shares each type among the accounts by
 * weight. Waiting and variation of service times cost it nothing.
 */
final class IdealBound {

  private record Change(double factor, double start, double end) {}

  private final Deployment deployment;
  private final Map<String, Change[]> capacity = new HashMap<>();
  private final Map<String, Change> work = new HashMap<>();

  IdealBound(Deployment deployment) {
    this.deployment = deployment;
  }

  /** Up to two changes of capacity per service; the later one follows the earlier. */
  void setCapacityFactor(String service, double factor, double start, double end) {
    Change change = new Change(factor, start, end);
    Change[] former = capacity.get(service);
    capacity.put(
        service, former == null ? new Change[] {change} : new Change[] {former[0], change});
  }

  void setWorkFactor(String service, double factor, double start, double end) {
    work.put(service, new Change(factor, start, end));
  }

  /**
   * Returns completed requests of a time slot.
   *
   * @param wanted requests within the rate, by type and account
   */
  double[][] completed(double[][] wanted, double second, double slotSeconds) {
    Map<String, Double> left = new HashMap<>();
    for (Deployment.Service service : deployment.services()) {
      left.put(
          service.name(),
          service.targets() * service.slots() * slotSeconds * capacityAt(service.name(), second));
    }
    double[][] result = new double[wanted.length][];
    for (TrafficClass trafficClass : TrafficClass.values()) {
      fillClass(trafficClass, wanted, left, second, result);
    }
    return result;
  }

  private void fillClass(
      TrafficClass trafficClass,
      double[][] wanted,
      Map<String, Double> left,
      double second,
      double[][] result) {
    List<Deployment.RequestType> types = deployment.types();
    Map<String, Double> needed = new HashMap<>();
    for (int t = 0; t < types.size(); t++) {
      if (types.get(t).trafficClass() == trafficClass) {
        double count = java.util.Arrays.stream(wanted[t]).sum();
        slotSeconds(types.get(t), second)
            .forEach((service, cost) -> needed.merge(service, cost * count, Double::sum));
      }
    }
    for (int t = 0; t < types.size(); t++) {
      Deployment.RequestType type = types.get(t);
      if (type.trafficClass() != trafficClass) {
        continue;
      }
      double part = 1;
      for (String service : type.chain()) {
        part = Math.min(part, left.get(service) / Math.max(1e-9, needed.get(service)));
      }
      double count = java.util.Arrays.stream(wanted[t]).sum();
      result[t] = shareByWeight(wanted[t], part * count);
    }
    for (int t = 0; t < types.size(); t++) {
      if (types.get(t).trafficClass() == trafficClass) {
        double count = java.util.Arrays.stream(result[t]).sum();
        slotSeconds(types.get(t), second)
            .forEach(
                (service, cost) ->
                    left.merge(service, -cost * count, (a, b) -> Math.max(0, a + b)));
      }
    }
  }

  /** Slot time at each service: own work and the nested calls, during which the slot is held. */
  private Map<String, Double> slotSeconds(Deployment.RequestType type, double second) {
    Map<String, Double> result = new HashMap<>();
    double sum = 0;
    for (int i = type.chain().size() - 1; i >= 0; i--) {
      String service = type.chain().get(i);
      sum += deployment.service(service).workMillis() * workAt(service, second) / 1000;
      result.put(service, sum);
    }
    return result;
  }

  private double[] shareByWeight(double[] wanted, double total) {
    double[] given = new double[wanted.length];
    double left = total;
    boolean[] full = new boolean[wanted.length];
    while (left > 1e-9) {
      double weights = 0;
      for (int a = 0; a < wanted.length; a++) {
        weights += full[a] ? 0 : weight(a);
      }
      if (weights == 0) {
        break;
      }
      double used = 0;
      for (int a = 0; a < wanted.length; a++) {
        if (!full[a]) {
          double more = Math.min(wanted[a] - given[a], left * weight(a) / weights);
          given[a] += more;
          used += more;
          full[a] = wanted[a] - given[a] < 1e-9;
        }
      }
      left -= used;
    }
    return given;
  }

  private int weight(int account) {
    Account configured = deployment.accounts().get(account);
    return configured.weight();
  }

  private double capacityAt(String service, double second) {
    double factor = 1;
    for (Change change : capacity.getOrDefault(service, new Change[0])) {
      if (second >= change.start() && second < change.end()) {
        factor = change.factor();
      }
    }
    return factor;
  }

  private double workAt(String service, double second) {
    Change change = work.get(service);
    return change != null && second >= change.start() && second < change.end()
        ? change.factor()
        : 1;
  }
}
