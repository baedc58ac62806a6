package org.cornelspoke.coordination.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelspoke.model.RouteId;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.state.config.Route;
import org.cornelspoke.state.config.WeightedService;

/**
 * Distributes the requests of a route among its services by smooth weighted round robin, which
 * keeps the proportions even over short sequences. The capacity of the services is not considered:
 * requests to an overloaded service are refused, not moved to another one.
 *
 * <p>Not safe for use by several threads.
 */
public final class ServiceChooser {

  private static final class WeightedRoundRobin {
    private final List<WeightedService> services;
    private final double[] credits;

    private WeightedRoundRobin(List<WeightedService> services) {
      this.services = services;
      this.credits = new double[services.size()];
    }

    private ServiceName next() {
      double total = 0;
      int best = 0;
      for (int i = 0; i < credits.length; i++) {
        double weight = services.get(i).weight();
        total += weight;
        credits[i] += weight;
        if (credits[i] > credits[best]) {
          best = i;
        }
      }
      credits[best] -= total;
      return services.get(best).service();
    }
  }

  private final Map<RouteId, WeightedRoundRobin> roundRobins = new HashMap<>();

  /** Returns the service for the next request of the route. */
  public ServiceName choose(Route route) {
    if (route.services().size() == 1) {
      return route.service();
    }
    WeightedRoundRobin roundRobin = roundRobins.get(route.id());
    if (roundRobin == null || !roundRobin.services.equals(route.services())) {
      roundRobin = new WeightedRoundRobin(route.services());
      roundRobins.put(route.id(), roundRobin);
    }
    return roundRobin.next();
  }
}
