package org.cornelspoke.bench.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.math3.random.RandomGenerator;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.CallId;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.state.registry.Target;

/** The daemons and upstreams of a deployment, and the faults that a scenario injects. */
final class Cluster {

  private static final long LOCAL_LINK_DELAY_NANOS = VirtualTime.MILLI / 10;
  private static final long GATE_TICK_INTERVAL_NANOS = 5 * VirtualTime.MILLI;

  final VirtualTime time;
  final Deployment deployment;
  final Variant variant;
  final RandomGenerator random;
  final Set<AccountId> withdrawnAccounts = new HashSet<>();
  private final Map<String, List<Node>> nodesByService = new LinkedHashMap<>();
  private final Map<TargetId, Node> nodesById = new HashMap<>();
  private final List<Node> nodes = new ArrayList<>();
  private final ShareTree shares;
  private long nextCallNumber;

  Cluster(VirtualTime time, Deployment deployment, Variant variant, RandomGenerator random) {
    this.time = time;
    this.deployment = deployment;
    this.variant = variant;
    this.random = random;
    shares = variant.naive() ? null : new ShareTree(time, deployment);
    int daemonCount = 0;
    for (Deployment.Service service : deployment.services()) {
      List<Node> serviceNodes = new ArrayList<>();
      for (int i = 0; i < service.targets(); i++) {
        Node node = new Node(deployment, service, i, time, variant, random);
        serviceNodes.add(node);
        nodesById.put(node.target.id(), node);
        nodes.add(node);
        daemonCount++;
      }
      nodesByService.put(service.name(), serviceNodes);
    }
    int daemons = daemonCount;
    for (Node node : nodes) {
      node.limiter =
          variant.naive()
              ? new ShareTree.StaticBuckets(time, deployment.accounts(), daemons)
              : shares.newHolder(node.id(), node.dataCentre);
    }
    publishTargets();
    time.every(GATE_TICK_INTERVAL_NANOS, () -> nodes.forEach(node -> node.gate.onTick(time.now())));
  }

  List<Node> nodes(String service) {
    return nodesByService.get(service);
  }

  List<Node> nodes() {
    return nodes;
  }

  Node node(TargetId id) {
    return nodesById.get(id);
  }

  CallId newCallId() {
    return new CallId(String.format("%032x", nextCallNumber++));
  }

  long linkDelayNanos(Node from, Node to) {
    return from.dataCentre == to.dataCentre
        ? LOCAL_LINK_DELAY_NANOS
        : (long) (deployment.linkMillis() * VirtualTime.MILLI);
  }

  /** Updates the registered targets in the target selector of every daemon. */
  void publishTargets() {
    Map<ServiceName, List<Target>> targets = new HashMap<>();
    nodesByService.forEach(
        (service, serviceNodes) ->
            targets.put(
                new ServiceName(service),
                serviceNodes.stream()
                    .filter(node -> node.alive)
                    .map(node -> node.target)
                    .toList()));
    nodes.forEach(node -> node.selector.setTargets(targets, time.now()));
  }

  /** Stops a daemon and its upstream; requests in progress are lost. */
  void kill(Node node) {
    node.alive = false;
    node.server.stop();
    node.reset();
    if (shares != null) {
      shares.remove(node.id());
    }
  }

  /** Starts a stopped daemon and its upstream, which is cold. */
  void restart(Node node) {
    node.alive = true;
    node.server.startCold();
    node.reset();
    if (shares != null) {
      node.limiter = shares.newHolder(node.id(), node.dataCentre);
    }
    publishTargets();
  }
}
