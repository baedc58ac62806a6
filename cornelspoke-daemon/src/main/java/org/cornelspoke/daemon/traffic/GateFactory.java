package org.cornelspoke.daemon.traffic;

import java.util.Optional;
import org.cornelspoke.coordination.admission.UpstreamGate;
import org.cornelspoke.model.ServiceName;

/**
 * Creates the gate of an upstream when the upstream announces itself. Called on the reactor thread.
 */
public interface GateFactory {

  /**
   * Returns a new gate.
   *
   * @param slots number of requests that the upstream claims to serve concurrently
   */
  UpstreamGate create(ServiceName service, int slots, long nowNanos);

  /** Returns a new gate, with a learned capacity if this factory uses one. */
  default LearningGate createLearning(ServiceName service, int slots, long nowNanos) {
    return new LearningGate(create(service, slots, nowNanos), Optional.empty());
  }
}
