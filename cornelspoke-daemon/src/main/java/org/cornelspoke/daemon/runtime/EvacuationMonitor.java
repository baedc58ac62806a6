package org.cornelspoke.daemon.runtime;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.state.config.ConfigState;
import org.cornelspoke.state.config.DataCentreEvacuation;

/**
 * Logs each start and end of an evacuation and keeps its metrics: {@code evacuation.data-centres},
 * the number of evacuated data centres, and {@code evacuation.age-seconds.NAME} for each of them.
 *
 * <p>Must be used on the control thread only.
 */
final class EvacuationMonitor {

  private static final System.Logger LOGGER = System.getLogger(EvacuationMonitor.class.getName());

  private final ConfigState config;
  private final MetricRegistry metrics;
  private final LongSupplier wallClockMillis;
  private Map<DataCentreId, Long> startMillisByDataCentre = Map.of();

  EvacuationMonitor(ConfigState config, MetricRegistry metrics, LongSupplier wallClockMillis) {
    this.config = config;
    this.metrics = metrics;
    this.wallClockMillis = wallClockMillis;
    Gauge<Integer> count = () -> config.evacuations().size();
    metrics.gauge("evacuation.data-centres", () -> count);
  }

  /** Compares the evacuations in force with those of the last call. Called periodically. */
  void onTick() {
    List<DataCentreEvacuation> evacuations = config.evacuations();
    Map<DataCentreId, Long> previous = startMillisByDataCentre;
    Map<DataCentreId, Long> current = new HashMap<>();
    for (DataCentreEvacuation evacuation : evacuations) {
      current.put(evacuation.dataCentre(), evacuation.startedAtMillis());
    }
    if (current.equals(previous)) {
      return;
    }
    startMillisByDataCentre = current;
    previous.forEach(
        (dataCentre, startMillis) -> {
          if (!startMillis.equals(current.get(dataCentre))) {
            metrics.remove(ageMetric(dataCentre));
            LOGGER.log(
                Level.INFO,
                "event=data-centre-restored dataCentre={0} ageSeconds={1}",
                dataCentre,
                Long.toString(ageSeconds(startMillis)));
          }
        });
    current.forEach(
        (dataCentre, startMillis) -> {
          if (!startMillis.equals(previous.get(dataCentre))) {
            Gauge<Long> age = () -> ageSeconds(startMillis);
            metrics.gauge(ageMetric(dataCentre), () -> age);
            LOGGER.log(
                Level.INFO,
                "event=data-centre-evacuated dataCentre={0} ageSeconds={1}",
                dataCentre,
                Long.toString(ageSeconds(startMillis)));
          }
        });
  }

  private long ageSeconds(long startMillis) {
    // The clock of the VM that accepted the order may be ahead of this one.
    return TimeUnit.MILLISECONDS.toSeconds(Math.max(0, wallClockMillis.getAsLong() - startMillis));
  }

  private static String ageMetric(DataCentreId dataCentre) {
    return "evacuation.age-seconds." + dataCentre;
  }
}
