package org.cornelspoke.daemon.traffic;

import com.codahale.metrics.DefaultSettableGauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.admission.Completion;
import org.cornelspoke.coordination.admission.LearnedCapacity;
import org.cornelspoke.coordination.admission.WorkKind;
import org.cornelspoke.coordination.routing.RequestKind;
import org.cornelspoke.coordination.routing.TargetSelector;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.protocol.call.TargetEstimate;

/**
 * The learned capacity of one upstream process, the estimates that callers get of it, and its
 * metrics. Without a learned capacity, it does nothing and gives no estimates.
 *
 * <p>Not thread-safe.
 */
final class UpstreamCapacity {

  private static final long METRICS_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Change of a work time below which callers keep getting the same estimate object. */
  private static final double MIN_CHANGE = 0.02;

  /** Longest name of a process for which an estimate has at most 64 bytes. */
  private static final int MAX_PROCESS_LENGTH = 47;

  private final ServiceName service;
  private final String process;
  private final LearnedCapacity capacity;
  private final TargetEstimate[] estimates = new TargetEstimate[WorkKind.COUNT];
  private long metricsAtNanos;

  UpstreamCapacity(
      ServiceName service, Optional<ProcessId> process, Optional<LearnedCapacity> capacity) {
    this.service = service;
    this.process = process.map(ProcessId::toString).orElse(null);
    this.capacity = capacity.orElse(null);
  }

  void onSent(long nowNanos) {
    if (capacity != null) {
      capacity.onSent(nowNanos);
    }
  }

  void onEnded(
      WorkKind kind, long sentAtNanos, long nestedNanos, Completion completion, long nowNanos) {
    if (capacity != null) {
      capacity.onEnded(kind, sentAtNanos, nestedNanos, completion, nowNanos);
    }
  }

  /** Adopts what a caller remembers; ignored if it is about another process. */
  void onEarlierEstimate(WorkKind kind, TargetEstimate estimate) {
    if (capacity != null && estimate.process().equals(process)) {
      capacity.adopt(
          kind, estimate.concurrency(), TimeUnit.MICROSECONDS.toNanos(estimate.workMicros()));
    }
  }

  /** Returns the estimate for a kind of request, or empty if it is unknown. */
  Optional<TargetEstimate> estimate(WorkKind kind) {
    if (capacity == null || process == null || process.length() > MAX_PROCESS_LENGTH) {
      return Optional.empty();
    }
    long workMicros = TimeUnit.NANOSECONDS.toMicros(capacity.workNanos(kind));
    if (workMicros <= 0) {
      return Optional.empty();
    }
    TargetEstimate previous = estimates[kind.index()];
    boolean unchanged =
        previous != null
            && previous.concurrency() == capacity.concurrency()
            && Math.abs(previous.workMicros() - workMicros) <= MIN_CHANGE * workMicros;
    if (!unchanged) {
      previous =
          new TargetEstimate(
              process,
              Math.min(TargetEstimate.MAX_CONCURRENCY, capacity.concurrency()),
              Math.min(TargetEstimate.MAX_WORK_MICROS, workMicros));
      estimates[kind.index()] = previous;
    }
    return Optional.of(previous);
  }

  void onTick(long nowNanos) {
    if (capacity != null) {
      capacity.onTick(nowNanos);
    }
  }

  /** Sets the metrics once per second. */
  void updateMetrics(MetricRegistry registry, TargetSelector selector, long nowNanos) {
    if (capacity == null || nowNanos - metricsAtNanos < METRICS_INTERVAL_NANOS) {
      return;
    }
    metricsAtNanos = nowNanos;
    String prefix = "upstream." + service.value() + '.';
    set(registry, prefix + "learned-concurrency", capacity.concurrency());
    double speedSum = 0;
    int speeds = 0;
    for (TrafficClass trafficClass : TrafficClass.values()) {
      for (int nested = 0; nested < 2; nested++) {
        long workNanos = capacity.workNanos(WorkKind.of(trafficClass, nested == 1));
        if (workNanos > 0) {
          set(
              registry,
              prefix + (nested == 1 ? "nested-work-micros." : "work-micros.") + trafficClass,
              TimeUnit.NANOSECONDS.toMicros(workNanos));
          double meanNanos =
              selector.meanWorkNanos(new RequestKind(service, trafficClass, nested == 1));
          speedSum += meanNanos / workNanos;
          speeds += meanNanos > 0 ? 1 : 0;
        }
      }
    }
    if (speeds > 0) {
      set(registry, prefix + "relative-speed", speedSum / speeds);
    }
  }

  @SuppressWarnings("unchecked")
  private static void set(MetricRegistry registry, String name, Number value) {
    ((DefaultSettableGauge<Number>)
            registry.<com.codahale.metrics.Gauge<?>>gauge(
                name, () -> new DefaultSettableGauge<Number>(0)))
        .setValue(value);
  }
}
