package org.cornelspoke.daemon.traffic;

import io.activej.reactor.schedule.ScheduledRunnable;
import org.cornelspoke.coordination.admission.RootThrottle;
import org.cornelspoke.coordination.admission.UpstreamGate;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.transport.http.UpstreamPool;

/** An upstream that has announced itself to this daemon. */
final class LocalUpstream {

  final ServiceName service;
  final Endpoint address;

  /** Name of the upstream process, or null. */
  final String instance;

  final UpstreamGate gate;
  final UpstreamPool pool;
  final RootThrottle throttle;
  int slots;
  boolean draining;
  int inFlight;
  ScheduledRunnable lease;

  LocalUpstream(
      ServiceName service,
      Endpoint address,
      String instance,
      UpstreamGate gate,
      RootThrottle throttle,
      UpstreamPool pool) {
    this.throttle = throttle;
    this.instance = instance;
    this.service = service;
    this.address = address;
    this.gate = gate;
    this.pool = pool;
  }
}
