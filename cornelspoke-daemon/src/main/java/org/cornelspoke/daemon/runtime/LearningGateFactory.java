package org.cornelspoke.daemon.runtime;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import org.cornelspoke.coordination.admission.ConcurrencyLimit;
import org.cornelspoke.coordination.admission.LearnedCapacity;
import org.cornelspoke.coordination.admission.LearnedLimit;
import org.cornelspoke.coordination.admission.UpstreamGate;
import org.cornelspoke.daemon.settings.LearnedCapacitySettings;
import org.cornelspoke.daemon.traffic.GateFactory;
import org.cornelspoke.daemon.traffic.LearningGate;
import org.cornelspoke.model.ServiceName;

/** Creates gates that learn the capacity of their upstreams if the settings enable it. */
final class LearningGateFactory implements GateFactory {

  private final LearnedCapacitySettings settings;
  private final BiFunction<Integer, Optional<ConcurrencyLimit>, UpstreamGate> gates;

  /**
   * Creates a factory.
   *
   * @param gates creates a gate from the slots and the limit, or with its own limit if empty
   */
  LearningGateFactory(
      LearnedCapacitySettings settings,
      BiFunction<Integer, Optional<ConcurrencyLimit>, UpstreamGate> gates) {
    this.settings = settings;
    this.gates = gates;
  }

  @Override
  public UpstreamGate create(ServiceName service, int slots, long nowNanos) {
    return gates.apply(slots, Optional.empty());
  }

  @Override
  public LearningGate createLearning(ServiceName service, int slots, long nowNanos) {
    if (!settings.enabled()) {
      return GateFactory.super.createLearning(service, slots, nowNanos);
    }
    long windowNanos = TimeUnit.MILLISECONDS.toNanos(settings.windowMillis());
    LearnedLimit limit = new LearnedLimit(slots, settings.minLimitFraction(), windowNanos);
    return new LearningGate(
        gates.apply(slots, Optional.of(limit)),
        Optional.of(new LearnedCapacity(limit, windowNanos)));
  }
}
