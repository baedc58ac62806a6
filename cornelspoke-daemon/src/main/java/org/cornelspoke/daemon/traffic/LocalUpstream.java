package org.cornelspoke.daemon.traffic;

import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.Optional;
import java.util.OptionalLong;
import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.coordination.admission.StatedRate;
import org.cornelspoke.coordination.admission.UpstreamGate;
import org.cornelspoke.coordination.admission.UpstreamNotice;
import org.cornelspoke.coordination.admission.UpstreamNoticeTracker;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.protocol.call.CallHead;
import org.cornelspoke.protocol.call.TargetNotice;
import org.cornelspoke.state.config.ServicePolicy;
import org.cornelspoke.transport.http.UpstreamPool;

/** An upstream that has announced itself to this daemon. */
final class LocalUpstream {

  final ServiceName service;
  final Endpoint address;

  /** The upstream process, or empty if unknown. */
  final Optional<ProcessId> process;

  final UpstreamGate gate;
  final UpstreamPool pool;
  final ChainAdmission chains;
  final CrashDetector crashDetector;
  private final UpstreamNoticeTracker noticeTracker = new UpstreamNoticeTracker(System.nanoTime());
  private final UpstreamNoticeLog noticeLog;
  final UpstreamCapacity capacity;
  final NestedCallStatistics nestedCallStatistics = new NestedCallStatistics();
  private Optional<StatedRate> rate = Optional.empty();
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
      ChainAdmission chains,
      UpstreamPool pool,
      CrashDetector crashDetector,
      TrafficMetrics metrics) {
    this.crashDetector = crashDetector;
    this.chains = chains;
    this.process = process;
    this.service = service;
    this.address = address;
    this.gate = gate;
    this.capacity = capacity;
    this.pool = pool;
    this.noticeLog = new UpstreamNoticeLog(service, instance(), metrics);
  }

  /** Returns true if a root request may be submitted to the gate. */
  boolean admitsRoot(CallHead head, long nowNanos) {
    return !nestedCallStatistics.makesCalls(head.trafficClass()) || chains.admits(head, nowNanos);
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
    noticeTracker.onResponse(notice, sentAtNanos, nowNanos);
    applyStatements(nowNanos);
  }

  /**
   * Processes a notice that another daemon received earlier; ignored if it is about another
   * process.
   */
  void onEarlierNotice(TargetNotice notice, long nowNanos) {
    boolean sameProcess = process.isPresent() && process.get().toString().equals(notice.process());
    if (sameProcess) {
      noticeTracker.onEarlierNotice(notice.notice(), nowNanos);
      applyStatements(nowNanos);
    }
  }

  /**
   * Processes a report of the upstream.
   *
   * @param coldRemainingMillis remaining cold time, 0 if warm, or empty if it is not stated
   */
  void onReport(OptionalLong coldRemainingMillis, long nowNanos) {
    noticeTracker.onReport(coldRemainingMillis, nowNanos);
    applyStatements(nowNanos);
  }

  /** Records that the upstream has reported that it drains, so that callers learn it. */
  void onDrainReported() {
    noticeTracker.onLeaving();
  }

  /** Applies the policy of the upstream's service, or its absence. */
  void setServicePolicy(Optional<ServicePolicy> policy, long nowNanos) {
    noticeTracker.setPolicy(policy);
    applyStatements(nowNanos);
  }

  /**
   * Opens the gate again. It admits at the cold rate of the service until the next report, since
   * the upstream may have been restarted while its data centre was evacuated.
   */
  void onEvacuationEnded(long nowNanos) {
    noticeTracker.onEvacuationEnded(nowNanos);
    applyStatements(nowNanos);
    gate.setEvacuated(false);
  }

  /**
   * Returns the notice in force, for the daemons that call the upstream, or empty if there is none
   * or the process is not named.
   */
  Optional<TargetNotice> targetNotice(long nowNanos) {
    UpstreamNotice current = noticeTracker.current(nowNanos);
    return current.equals(UpstreamNotice.NONE)
        ? Optional.empty()
        : process.map(id -> new TargetNotice(id.toString(), current));
  }

  /** Returns true if the upstream has stated that it is leaving. */
  boolean isLeaving() {
    return noticeTracker.isLeaving();
  }

  /** Closes the gate and refuses the queued requests; running ones complete. */
  void onEvacuated(long nowNanos) {
    gate.setEvacuated(true);
    gate.onTick(nowNanos);
  }

  /** Updates the gate; called every few milliseconds while requests are pending. */
  void onTick(long nowNanos) {
    applyStatements(nowNanos);
    gate.onTick(nowNanos);
    chains.onTick(gate.load(), nowNanos);
    capacity.onTick(nowNanos);
    noticeLog.onTick(gate.load(), nowNanos);
  }

  /** Records the load reported at the end of a call that this upstream made. */
  void onCallEnded(GateLoad load, long nowNanos) {
    chains.onCallEnded(load.pressurePercent(), nowNanos);
  }

  /** Returns the load of the gate, including the pressure of downstream gates. */
  GateLoad load(long nowNanos) {
    return gate.load().withDownstreamPressure(chains.downstreamPressurePercent(nowNanos));
  }

  /** Sets the rate of the gate to the one that the statements lead to at this time. */
  void applyStatements(long nowNanos) {
    noticeLog.onNotice(noticeTracker.current(nowNanos));
    Optional<StatedRate> newRate = noticeTracker.rate(nowNanos);
    if (!newRate.equals(rate)) {
      rate = newRate;
      gate.setRateLimit(rate, nowNanos);
    }
  }
}
