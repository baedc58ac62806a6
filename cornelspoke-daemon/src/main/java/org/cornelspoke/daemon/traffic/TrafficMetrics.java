package org.cornelspoke.daemon.traffic;

import com.codahale.metrics.Counter;
import com.codahale.metrics.LockFreeExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.EnumMap;
import java.util.Map;
import org.cornelspoke.model.RefusalReason;

/** Metrics of the traffic path. Frequent events are counted instead of logged. */
final class TrafficMetrics {

  private final MetricRegistry registry;
  private final Map<RefusalReason, Counter> refusals = new EnumMap<>(RefusalReason.class);

  final Timer requestTime;

  /** Time between the deadline and the end of requests that ended after it. */
  final Timer lateness;

  /** Upper bound of the time that requests waited on their connection before they started. */
  final Timer connectionWaitTime;

  final Timer gateWaitTime;
  final Timer upstreamTime;
  final Counter answered;
  final Counter attempts;
  final Counter retries;
  final Counter retriesThrottled;
  final Counter abandoned;
  final Counter leasesEnded;
  final Counter coldPeriods;

  /** Upstream processes that ended under their requests. */
  final Counter upstreamCrashes;

  final Counter sentWhileCold;
  final Counter forgedContexts;

  /** 1 while the data centre of this daemon is evacuated, otherwise 0. */
  final Counter evacuated;

  TrafficMetrics(MetricRegistry registry) {
    this.registry = registry;
    for (RefusalReason reason : RefusalReason.values()) {
      refusals.put(reason, registry.counter("edge.refused." + reason.code()));
    }
    this.requestTime = timer("edge.request-time");
    this.lateness = timer("edge.lateness");
    this.connectionWaitTime = timer("edge.connection-wait-time");
    this.gateWaitTime = timer("gate.wait-time");
    this.upstreamTime = timer("upstream.time");
    this.answered = registry.counter("edge.answered");
    this.attempts = registry.counter("edge.attempts");
    this.retries = registry.counter("edge.retries");
    this.retriesThrottled = registry.counter("edge.retries-throttled");
    this.abandoned = registry.counter("edge.abandoned");
    this.leasesEnded = registry.counter("local.leases-ended");
    this.upstreamCrashes = registry.counter("local.upstream-crashes");
    this.coldPeriods = registry.counter("local.cold-periods");
    this.sentWhileCold = registry.counter("local.sent-while-cold");
    this.evacuated = registry.counter("local.evacuated");
    this.forgedContexts = registry.counter("edge.forged-contexts");
  }

  MetricRegistry registry() {
    return registry;
  }

  void onRefused(RefusalReason reason) {
    refusals.get(reason).inc();
  }

  /** Creates a timer with a lock-free reservoir; the default one takes a lock for each update. */
  private Timer timer(String name) {
    return registry.timer(
        name, () -> new Timer(LockFreeExponentiallyDecayingReservoir.builder().build()));
  }
}
