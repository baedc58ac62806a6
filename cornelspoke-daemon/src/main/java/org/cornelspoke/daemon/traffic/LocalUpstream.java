package org.cornelspoke.daemon.traffic;

import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.Optional;
import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.coordination.admission.PressureEstimator;
import org.cornelspoke.coordination.admission.RootRequestThrottle;
import org.cornelspoke.coordination.admission.UpstreamGate;
import org.cornelspoke.coordination.admission.UpstreamNotice;
import org.cornelspoke.coordination.admission.UpstreamNoticeTracker;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.protocol.call.TargetNotice;
import org.cornelspoke.transport.http.UpstreamPool;

/** An upstream that has announced itself to this daemon. */
final class LocalUpstream {

  final ServiceName service;
  final Endpoint address;

  /** The upstream process, or empty if unknown. */
  final Optional<ProcessId> process;

  final UpstreamGate gate;
  final UpstreamPool pool;
  private final RootRequestThrottle rootThrottle;
  private final PressureEstimator downstreamPressure = new PressureEstimator();
  private final UpstreamNoticeTracker noticeTracker = new UpstreamNoticeTracker();
  private final UpstreamNoticeLog noticeLog;
  final UpstreamCapacity capacity;
  final NestedCallStatistics nestedCallStatistics = new NestedCallStatistics();
  int slots;
  boolean draining;
  int inFlight;
  ScheduledRunnable leaseTimer;

  LocalUpstream(
      ServiceName service,
      Endpoint address,
      Optional<ProcessId> process,
      UpstreamGate gate,
      UpstreamCapacity capacity,
      RootRequestThrottle rootThrottle,
      UpstreamPool pool) {
    this.rootThrottle = rootThrottle;
    this.process = process;
    this.service = service;
    this.address = address;
    this.gate = gate;
    this.capacity = capacity;
    this.pool = pool;
    this.noticeLog = new UpstreamNoticeLog(service, instance());
  }

  /** Returns true if a root request of the class may be submitted to the gate. */
  boolean admitsRoot(TrafficClass trafficClass, long nowNanos) {
    return !nestedCallStatistics.makesCalls(trafficClass)
        || rootThrottle.tryAdmit(trafficClass, downstreamPressure.percent(nowNanos), nowNanos);
  }

  /** Returns the name of the upstream process, or null if unknown. */
  String instance() {
    return process.map(ProcessId::instance).orElse(null);
  }

  /** Counts a request that is sent to the upstream. */
  void onSent() {
    noticeLog.onSent();
  }

  /** Processes what the upstream states about itself in the response to a request. */
  void onNotice(UpstreamNotice notice, long sentAtNanos, long nowNanos) {
    if (noticeTracker.onResponse(notice, sentAtNanos, nowNanos)) {
      applyNotice(nowNanos);
    }
  }

  /**
   * Processes a notice that another daemon received earlier; ignored if it is about another
   * process.
   */
  void onEarlierNotice(TargetNotice notice, long nowNanos) {
    boolean sameProcess = process.isPresent() && process.get().toString().equals(notice.process());
    if (sameProcess && noticeTracker.onEarlierNotice(notice.notice(), nowNanos)) {
      applyNotice(nowNanos);
    }
  }

  /**
   * Returns the notice in force, for the daemons that call the upstream, or empty if there is none
   * or the process is not named.
   */
  Optional<TargetNotice> targetNotice() {
    UpstreamNotice current = noticeTracker.current();
    return current.equals(UpstreamNotice.NONE)
        ? Optional.empty()
        : process.map(id -> new TargetNotice(id.toString(), current));
  }

  /** Returns true if the upstream has stated that it is leaving. */
  boolean isLeaving() {
    return noticeTracker.current().leaving();
  }

  /** Updates the gate; called every few milliseconds while requests are pending. */
  void onTick(long nowNanos) {
    gate.onTick(nowNanos);
    capacity.onTick(nowNanos);
    noticeLog.onTick(noticeTracker.current(), gate.load(), nowNanos);
  }

  /** Records the load reported at the end of a call that this upstream made. */
  void onCallEnded(GateLoad load, long nowNanos) {
    downstreamPressure.record(load.pressurePercent(), nowNanos);
  }

  /** Returns the load of the gate, including the pressure of downstream gates. */
  GateLoad load(long nowNanos) {
    return gate.load().withDownstreamPressure(downstreamPressure.percent(nowNanos));
  }

  private void applyNotice(long nowNanos) {
    UpstreamNotice current = noticeTracker.current();
    noticeLog.onChanged(current);
    gate.setRateLimit(current.requestsPerSecond(), nowNanos);
  }
}
