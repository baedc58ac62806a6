package org.cornelspoke.daemon.traffic;

import org.cornelspoke.coordination.admission.UpstreamGate;
import org.cornelspoke.model.ServiceName;

/** Creates the gate of an upstream when it announces itself. Called on the traffic thread. */
public interface GateFactory {

  /**
   * Returns a new gate.
   *
   * @param slots requests that the upstream claims to serve at once
   */
  UpstreamGate create(ServiceName service, int slots, long nowNanos);
}
