package org.cornelspoke.daemon.runtime;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.state.config.ChangeRequest;
import org.cornelspoke.state.config.ConfigChange;
import org.cornelspoke.state.config.ConfigState;
import org.junit.jupiter.api.Test;

/** Guards against metrics of evacuations that are missing, wrong or stay after the restoration. */
final class EvacuationMonitorTest {

  private static final DataCentreId A = new DataCentreId("a");
  private static final String AGE = "evacuation.age-seconds.a";

  private final ConfigState config = new ConfigState();
  private final MetricRegistry metrics = new MetricRegistry();
  private final AtomicLong nowMillis = new AtomicLong(10_000);
  private final EvacuationMonitor monitor = new EvacuationMonitor(config, metrics, nowMillis::get);
  private int sequence;

  @Test
  void showsNumberAndAgeFromStartToEnd() {
    monitor.onTick();
    assertThat(gauge("evacuation.data-centres")).isEqualTo(0);

    apply(new ConfigChange.EvacuateDataCentre(A));
    monitor.onTick();
    nowMillis.set(75_500);
    apply(new ConfigChange.EvacuateDataCentre(A));
    monitor.onTick();
    assertThat(gauge("evacuation.data-centres")).isEqualTo(1);
    assertThat(gauge(AGE)).isEqualTo(65L);

    apply(new ConfigChange.RestoreDataCentre(A));
    monitor.onTick();
    assertThat(gauge("evacuation.data-centres")).isEqualTo(0);
    assertThat(metrics.getGauges()).doesNotContainKey(AGE);
  }

  /** Guards against the age of a former evacuation if one follows within one period. */
  @Test
  void showsTheAgeOfALaterEvacuation() {
    apply(new ConfigChange.EvacuateDataCentre(A));
    monitor.onTick();
    nowMillis.set(60_000);
    apply(new ConfigChange.RestoreDataCentre(A));
    apply(new ConfigChange.EvacuateDataCentre(A));
    monitor.onTick();
    nowMillis.set(62_000);
    assertThat(gauge(AGE)).isEqualTo(2L);
  }

  private Object gauge(String name) {
    return metrics.getGauges().get(name).getValue();
  }

  private void apply(ConfigChange change) {
    config.apply(
        new ChangeRequest(
            new RequestId("r" + ++sequence),
            new OperatorId("platform"),
            Optional.empty(),
            nowMillis.get(),
            change));
  }
}
