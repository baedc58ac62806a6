package org.cornelspoke.bench.scenario;

import java.util.List;
import java.util.function.BiConsumer;

/**
 * Overload scenarios. The trigger lasts from 10 s to 20 s; measurement starts at 8 s and the run
 * ends at 32 s.
 */
enum Scenario {
  /**
   * The deep service takes three times as long while demand doubles and callers retry three times.
   */
  SLOW_DEEP_SERVICE,
  /** One large account sends five times its configured rate. */
  ACCOUNT_SURGE,
  /** Half of the slots of the deep service are lost without an announcement. */
  CAPACITY_HALVES,
  /** A third of the upstreams restart and are cold for five seconds. */
  COLD_RESTART,
  /** The daemons and upstreams of one data centre fail. */
  DATA_CENTRE_LOST,
  /** The keys of a large account are withdrawn while its clients continue to send. */
  KEYS_WITHDRAWN,
  /** The deep service slows down and one account sends five times its rate. */
  SLOW_AND_SURGE;

  static final double TRIGGER_START = 10;
  static final double TRIGGER_END = 20;
  static final double MEASURE_START = 8;
  static final double END = 32;

  private static final double SLOW_FACTOR = 3;

  /** Time until the withdrawal of a key has reached every daemon. */
  private static final double KEY_PROPAGATION_SECONDS = 0.2;

  /** Schedules the trigger and registers its effect on capacity and work with the ideal bound. */
  void schedule(Cluster cluster, Clients clients, IdealBound ideal) {
    switch (this) {
      case SLOW_DEEP_SERVICE -> scheduleSlowService(cluster, clients, ideal);
      case ACCOUNT_SURGE -> scheduleSurge(cluster, clients);
      case CAPACITY_HALVES -> scheduleCapacityLoss(cluster, ideal);
      case COLD_RESTART -> scheduleColdRestart(cluster, ideal);
      case DATA_CENTRE_LOST -> scheduleDataCentreLoss(cluster, ideal);
      case KEYS_WITHDRAWN ->
          cluster.time.at(
              TRIGGER_START + KEY_PROPAGATION_SECONDS,
              () -> cluster.withdrawnAccounts.add(cluster.deployment.accounts().get(1).id()));
      case SLOW_AND_SURGE -> {
        scheduleSlowService(cluster, clients, ideal);
        scheduleSurge(cluster, clients);
      }
    }
  }

  /** Returns true if requests that the account sends at that time count towards the results. */
  boolean isCounted(int account, double second) {
    return this != KEYS_WITHDRAWN || account != 1 || second < TRIGGER_START;
  }

  private static void scheduleSlowService(Cluster cluster, Clients clients, IdealBound ideal) {
    String deepService = cluster.deployment.deepService();
    scheduleTrigger(
        cluster,
        () -> {
          cluster.nodes(deepService).forEach(node -> node.server.setSlowFactor(SLOW_FACTOR));
          clients.setLoadFactorOfAll(2);
          clients.setMaxRetries(3);
        },
        () -> {
          cluster.nodes(deepService).forEach(node -> node.server.setSlowFactor(1));
          clients.setLoadFactorOfAll(1);
          clients.setMaxRetries(0);
        });
    ideal.setWorkFactor(deepService, SLOW_FACTOR, TRIGGER_START, TRIGGER_END);
  }

  private static void scheduleSurge(Cluster cluster, Clients clients) {
    scheduleTrigger(
        cluster, () -> clients.setLoadFactor(1, 5 * 1.3), () -> clients.setLoadFactor(1, 1));
  }

  private static void scheduleCapacityLoss(Cluster cluster, IdealBound ideal) {
    String deepService = cluster.deployment.deepService();
    List<Node> nodes = cluster.nodes(deepService);
    int slots = nodes.get(0).target.slots();
    scheduleTrigger(
        cluster,
        () -> nodes.forEach(node -> node.server.setSlots(slots / 2)),
        () -> nodes.forEach(node -> node.server.setSlots(slots)));
    ideal.setCapacityFactor(deepService, 0.5, TRIGGER_START, TRIGGER_END);
  }

  private static void scheduleColdRestart(Cluster cluster, IdealBound ideal) {
    BiConsumer<Deployment.Service, List<Node>> restartThird =
        (service, nodes) -> {
          int count = Math.max(1, nodes.size() / 3);
          ideal.setCapacityFactor(
              service.name(), 1 - (double) count / nodes.size(), TRIGGER_START, TRIGGER_START + 1);
          // A cold upstream warms up within 5 s; on average it serves half of its capacity.
          ideal.setCapacityFactor(
              service.name(), 1 - 0.5 * count / nodes.size(), TRIGGER_START + 1, TRIGGER_START + 6);
          for (Node node : nodes.subList(0, count)) {
            cluster.time.at(TRIGGER_START, () -> cluster.kill(node));
            cluster.time.at(TRIGGER_START + 1, () -> cluster.restart(node));
          }
        };
    cluster
        .deployment
        .services()
        .forEach(service -> restartThird.accept(service, cluster.nodes(service.name())));
  }

  private static void scheduleDataCentreLoss(Cluster cluster, IdealBound ideal) {
    List<Node> lost = cluster.nodes().stream().filter(node -> node.dataCentre == 0).toList();
    scheduleTrigger(
        cluster, () -> lost.forEach(cluster::kill), () -> lost.forEach(cluster::restart));
    for (Deployment.Service service : cluster.deployment.services()) {
      long remaining =
          cluster.nodes(service.name()).stream().filter(node -> node.dataCentre != 0).count();
      ideal.setCapacityFactor(
          service.name(), (double) remaining / service.targets(), TRIGGER_START, TRIGGER_END);
    }
  }

  private static void scheduleTrigger(Cluster cluster, Runnable start, Runnable end) {
    cluster.time.at(TRIGGER_START, start);
    cluster.time.at(TRIGGER_END, end);
  }
}
