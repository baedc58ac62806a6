package org.cornelspoke.bench.scenario;

import org.apache.commons.math3.random.RandomGenerator;
import org.cornelspoke.coordination.admission.DefaultUpstreamGate;
import org.cornelspoke.coordination.admission.UpstreamGate;
import org.cornelspoke.coordination.quota.RateLimiter;
import org.cornelspoke.coordination.retry.DefaultRetryBudgets;
import org.cornelspoke.coordination.retry.DefaultRetryThrottle;
import org.cornelspoke.coordination.routing.DefaultTargetSelector;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.registry.TargetState;

/** A target: one upstream and its daemon. */
final class Node {

  final int dataCentre;
  final Target target;
  final UpstreamServer server;
  private final Variant variant;
  private final RandomGenerator random;
  UpstreamGate gate;
  DefaultTargetSelector selector;
  DefaultRetryBudgets retryBudgets;
  DefaultRetryThrottle throttle;
  RateLimiter limiter;
  int incarnation;
  boolean alive = true;

  Node(
      Deployment deployment,
      Deployment.Service service,
      int index,
      VirtualTime time,
      Variant variant,
      RandomGenerator random) {
    this.variant = variant;
    this.random = random;
    dataCentre = index % deployment.dataCentres().size();
    String id = service.name() + "-" + (index + 1);
    target =
        new Target(
            new TargetId(id),
            new ServiceName(service.name()),
            new DaemonId(id),
            new DataCentreId(deployment.dataCentres().get(dataCentre)),
            new Endpoint("127.0.0.1", 1),
            service.slots(),
            TargetState.UP);
    server = new UpstreamServer(time, random, service.slots(), service.workMillis());
    reset();
  }

  String id() {
    return target.id().value();
  }

  /** Replaces all state that a restart loses. */
  void reset() {
    incarnation++;
    gate =
        variant.naive()
            ? new NaiveGate(target.slots())
            : new DefaultUpstreamGate(Deployment.preset(), variant.limit().create(target.slots()));
    selector =
        new DefaultTargetSelector(
            target.daemon(),
            target.dataCentre(),
            DefaultTargetSelector.DEFAULT_SUBSET_SIZE,
            random);
    retryBudgets = new DefaultRetryBudgets();
    throttle = new DefaultRetryThrottle(Deployment.preset().retryRatio());
  }
}
