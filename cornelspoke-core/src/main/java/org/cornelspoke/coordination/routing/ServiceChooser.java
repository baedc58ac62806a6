package org.cornelspoke.coordination.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelspoke.model.RouteId;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.state.config.Route;
import org.cornelspoke.state.config.WeightedService;

/**
 * Distributes the requests of a route among its services in proportion to their weights. The
 * services take turns (smooth weighted round robin), so that short spans keep the proportions too.
 * A part that is short of room keeps its share: its requests are refused and not moved.
 *
 * <p>Not safe for use by several threads.
 */
public final class ServiceChooser {

  private static final class Turns {
    private final List<WeightedService> services;
    private final double[] credits;

    private Turns(List<WeightedService> services) {
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

  private final Map<RouteId, Turns> turns = new HashMap<>();

  /** Returns the service of the next request. */
  public ServiceName choose(Route route) {
    if (route.services().size() == 1) {
      return route.service();
    }
    Turns known = turns.get(route.id());
    if (known == null || !known.services.equals(route.services())) {
      known = new Turns(route.services());
      turns.put(route.id(), known);
    }
    return known.next();
  }
}
