package org.cornelspoke.daemon.traffic;

import io.activej.reactor.schedule.ScheduledRunnable;
import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.coordination.admission.PressureEstimator;
import org.cornelspoke.coordination.admission.RootRequestThrottle;
import org.cornelspoke.coordination.admission.UpstreamGate;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.transport.http.UpstreamPool;

/** An upstream that has announced itself to this daemon. */
final class LocalUpstream {

  final ServiceName service;
  final Endpoint address;

  /** Name of the upstream process, or null. */
  final String instance;

  final UpstreamGate gate;
  final UpstreamPool pool;
  private final RootRequestThrottle throttle;
  private final PressureEstimator pressureBelow = new PressureEstimator();
  final CallerClasses callers = new CallerClasses();
  int slots;
  boolean draining;
  int inFlight;
  ScheduledRunnable lease;

  LocalUpstream(
      ServiceName service,
      Endpoint address,
      String instance,
      UpstreamGate gate,
      RootRequestThrottle throttle,
      UpstreamPool pool) {
    this.throttle = throttle;
    this.instance = instance;
    this.service = service;
    this.address = address;
    this.gate = gate;
    this.pool = pool;
  }

  /** Returns true if a root request of the class may be offered to the gate. */
  boolean admitsRoot(TrafficClass trafficClass, long nowNanos) {
    return !callers.makesCalls(trafficClass)
        || throttle.tryAdmit(trafficClass, pressureBelow.percent(nowNanos), nowNanos);
  }

  /** Takes the load that a call of this upstream reported at its end. */
  void onCallEnded(GateLoad load, long nowNanos) {
    pressureBelow.record(load.pressurePercent(), nowNanos);
  }

  /** Returns the load of the gate, with the pressure of the gates below. */
  GateLoad load(long nowNanos) {
    return gate.load().withDownstreamPressure(pressureBelow.percent(nowNanos));
  }
}
