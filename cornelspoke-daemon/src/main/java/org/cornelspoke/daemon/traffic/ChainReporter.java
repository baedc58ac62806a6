package org.cornelspoke.daemon.traffic;

import com.codahale.metrics.Counter;
import com.codahale.metrics.DefaultSettableGauge;
import com.codahale.metrics.MetricRegistry;
import java.lang.System.Logger.Level;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.admission.RoomEstimator;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;

/**
 * Publishes the metrics of chain admission at one upstream, and logs when a class starts and stops
 * being limited there. Confined to the reactor thread; the metrics may be read by any thread.
 */
final class ChainReporter {

  private static final System.Logger LOGGER = System.getLogger(ChainReporter.class.getName());

  private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Fraction below which a class is logged as limited. */
  private static final double LIMITED_FRACTION = 0.9;

  /** A class is logged as free after this many intervals without a limit. */
  private static final int FREE_INTERVALS = 5;

  private static final class ClassReport {
    private final DefaultSettableGauge<Double> room;
    private final DefaultSettableGauge<Double> slotTimeShare;
    private final Counter refused;
    private boolean limited;
    private int freeIntervals;

    ClassReport(MetricRegistry registry, ServiceName service, TrafficClass trafficClass) {
      String suffix = service.value() + "." + trafficClass.name().toLowerCase(Locale.ROOT);
      room = gauge(registry, "chain.room." + suffix);
      slotTimeShare = gauge(registry, "chain.slot-time-share." + suffix);
      refused = registry.counter("chain.refused-at-entry." + suffix);
    }

    private static DefaultSettableGauge<Double> gauge(MetricRegistry registry, String name) {
      return registry.gauge(name, DefaultSettableGauge::new);
    }
  }

  private final ServiceName service;
  private final Map<TrafficClass, ClassReport> classes = new EnumMap<>(TrafficClass.class);
  private long reportedAtNanos;

  ChainReporter(MetricRegistry registry, ServiceName service, long nowNanos) {
    this.service = service;
    this.reportedAtNanos = nowNanos;
    for (TrafficClass trafficClass : TrafficClass.values()) {
      classes.put(trafficClass, new ClassReport(registry, service, trafficClass));
    }
  }

  void onRefusedAtEntry(TrafficClass trafficClass) {
    classes.get(trafficClass).refused.inc();
  }

  void onTick(RoomEstimator estimator, long nowNanos) {
    if (nowNanos - reportedAtNanos < INTERVAL_NANOS) {
      return;
    }
    reportedAtNanos = nowNanos;
    classes.forEach((trafficClass, report) -> update(trafficClass, report, estimator));
  }

  private void update(TrafficClass trafficClass, ClassReport report, RoomEstimator estimator) {
    double room = estimator.room(trafficClass);
    report.room.setValue(room);
    report.slotTimeShare.setValue(estimator.slotTimeShare(trafficClass));
    report.freeIntervals = room < 1 ? 0 : report.freeIntervals + 1;
    boolean limited =
        report.limited ? report.freeIntervals < FREE_INTERVALS : room < LIMITED_FRACTION;
    if (limited != report.limited) {
      report.limited = limited;
      LOGGER.log(
          Level.INFO,
          "event={0} service={1} class={2} room={3}",
          limited ? "chain-admission-limited" : "chain-admission-free",
          service.value(),
          trafficClass,
          String.format(Locale.ROOT, "%.2f", room));
    }
  }
}
