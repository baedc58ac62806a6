package org.cornelspoke.daemon.traffic;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.coordination.routing.RequestKind;
import org.cornelspoke.coordination.routing.TargetSelector.AttemptResult;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.protocol.call.CallHead;
import org.cornelspoke.protocol.call.CallOutcome;
import org.cornelspoke.protocol.call.CallResult;
import org.cornelspoke.protocol.call.MessageBody;
import org.cornelspoke.protocol.call.TargetEstimate;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.transport.link.LinkCall;
import org.cornelspoke.transport.link.PeerLink;
import org.cornelspoke.util.TimerWheel;

/**
 * Sends one request to targets, with reroutes and retries. A request that may not be repeated is
 * retried only if the previous attempt is known not to have run. Once an attempt may have run, the
 * final result says so, whatever later attempts report.
 */
final class Forwarding {

  /**
   * Time allowed for the target's own deadline result to arrive, which tells whether the request
   * has run: a tick of the timers on either side and the round trip between two data centres.
   */
  private static final long DEADLINE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private static final long MIN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
  private static final long MAX_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final int MAX_BACKOFF_DOUBLINGS = 5;

  /**
   * Delay of a retry after the upstream has closed the connection. If it has crashed, the fleet
   * learns in this time whether the request is known to crash upstreams.
   */
  private static final long CRASH_EVALUATION_NANOS = TimeUnit.MILLISECONDS.toNanos(75);

  /** Maximum number of further targets tried after a gate refused; each costs a round trip. */
  private static final int MAX_REROUTES = 2;

  private final ForwardingDependencies dependencies;
  private final Collaborators collaborators;
  private final CallHead head;
  private final MessageBody body;
  private final boolean repeatable;
  private final boolean nested;
  private final RequestKind requestKind;
  private final long deadlineNanos;
  private final Consumer<CallResult> listener;
  private final Set<TargetId> triedTargets = new HashSet<>();

  /** Targets that this request must not try, including the tried ones. */
  private final Set<TargetId> excludedTargets = new HashSet<>();

  private TimerWheel.Timer deadlineTimer;
  private TimerWheel.Timer backoffTimer;
  private Runnable cancelAttempt;
  private Target target;
  private CallResult lastResult = new CallResult.Refused(RefusalReason.NO_TARGET, 0);
  private long attemptStartNanos;
  private int attemptCount;
  private int rerouteCount;
  private TargetId lastTarget;
  private GateLoad lastLoad;
  private OptionalDouble lastRoom = OptionalDouble.empty();
  private int keptAttempts;
  private int lentAttempts;
  private int remainingAttempts;
  private int lastDownstreamCalls;
  private int callsMade;
  private boolean mayHaveRun;
  private boolean ended;

  Forwarding(
      ForwardingDependencies dependencies,
      CallHead head,
      MessageBody body,
      boolean repeatable,
      boolean nested,
      long deadlineNanos,
      Consumer<CallResult> listener) {
    this.nested = nested;
    this.requestKind = new RequestKind(head.service(), head.trafficClass(), nested);
    this.dependencies = dependencies;
    this.collaborators = dependencies.collaborators();
    this.head = head;
    this.body = body;
    this.repeatable = repeatable;
    this.deadlineNanos = deadlineNanos;
    this.listener = listener;
    this.remainingAttempts = head.extraAttempts();
  }

  void start() {
    collaborators.throttles().of(head.service()).onRequest(System.nanoTime());
    tryNextTarget();
    if (!ended) {
      deadlineTimer =
          collaborators.timers().schedule(deadlineNanos + DEADLINE_GRACE_NANOS, this::onDeadline);
    }
  }

  /** Cancels the request without reporting a result. */
  void cancel() {
    if (!ended) {
      abortAttempt();
      finish();
    }
  }

  /** Returns the number of unused extra attempts; valid once the request has ended. */
  int unusedAttempts() {
    return remainingAttempts;
  }

  /** Appends the number of tried targets and the load that the last one reported to a log line. */
  void describe(StringBuilder line) {
    line.append(" targets=").append(triedTargets.size()).append(" sent=").append(attemptCount);
    line.append(" reroutes=").append(rerouteCount).append(" lastTarget=").append(lastTarget);
    if (lastLoad != null) {
      line.append(" gateInFlight=").append(lastLoad.inFlight());
      line.append(" gateQueued=").append(lastLoad.queued());
      line.append(" gateLimit=").append(lastLoad.limit());
    }
  }

  /**
   * Returns the number of calls that this request has caused, including downstream calls; valid
   * once the request has ended.
   */
  int callsMade() {
    return callsMade;
  }

  /** Returns the fraction of such requests for which the last target has capacity, if known. */
  OptionalDouble room() {
    return lastRoom;
  }

  /**
   * Sends the request to the next reachable target. Unreachable targets are skipped and do not
   * count as attempts.
   */
  private void tryNextTarget() {
    backoffTimer = null;
    while (true) {
      long now = System.nanoTime();
      if (now - deadlineNanos >= 0) {
        complete(new CallResult.Refused(RefusalReason.DEADLINE, 0));
        return;
      }
      if (dependencies.upstreams().quarantine().refuses(head, body, now)) {
        complete(
            attemptCount > 0
                ? lastResult
                : new CallResult.Refused(
                    RefusalReason.QUARANTINED, LocalCall.QUARANTINE_RETRY_MILLIS));
        return;
      }
      Optional<Target> selected =
          collaborators.selector().select(requestKind, excludedTargets, now);
      if (selected.isEmpty()) {
        complete(resultWithoutTarget());
        return;
      }
      target = selected.get();
      triedTargets.add(target.id());
      excludedTargets.add(target.id());
      if (dependencies.upstreams().isLocal(target)) {
        LocalUpstream local = dependencies.upstreams().find(head.service());
        if (local != null && !local.draining) {
          callLocal(now);
          return;
        }
        report(target.id(), AttemptResult.REFUSED, 0, now);
      } else {
        PeerLink link = dependencies.links().find(target);
        if (link != null && link.isReady()) {
          callPeer(link, now);
          return;
        }
        boolean draining = link != null && link.isGoingAway();
        report(target.id(), draining ? AttemptResult.REFUSED : AttemptResult.FAILURE, 0, now);
      }
    }
  }

  private void callLocal(long now) {
    CallHead attemptHead = beginAttempt(now);
    int attemptNumber = attemptCount;
    LocalCall call = dependencies.localCalls().start(attemptHead, body, now, this::onAttemptEnded);
    if (call != null) {
      setCancel(attemptNumber, call::cancel);
    }
  }

  private void callPeer(PeerLink link, long now) {
    CallHead attemptHead = beginAttempt(now);
    int attemptNumber = attemptCount;
    LinkCall call = link.call(attemptHead, body, this::onAttemptEnded);
    setCancel(attemptNumber, call::cancel);
  }

  /** Sets how the attempt is cancelled, unless it has already ended while it was being started. */
  private void setCancel(int attemptNumber, Runnable cancel) {
    if (!ended && attemptCount == attemptNumber && target != null) {
      cancelAttempt = cancel;
    }
  }

  private CallHead beginAttempt(long now) {
    attemptCount++;
    attemptStartNanos = now;
    collaborators.metrics().attempts.inc();
    // Half of the attempts is kept: if the target fails after using all it was lent, another target
    // can still be tried.
    keptAttempts = remainingAttempts / 2;
    lentAttempts = remainingAttempts - keptAttempts;
    remainingAttempts = keptAttempts;
    long remainingMillis = Math.max(0, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - now));
    return head.forAttempt(
        remainingMillis,
        lentAttempts,
        head.metadata()
            .withTargetNotice(dependencies.notices().of(target.id(), now))
            .withTargetEstimate(dependencies.estimates().toReturn(target.id(), requestKind, now)));
  }

  private void onAttemptEnded(CallOutcome ending) {
    if (ended) {
      return;
    }
    cancelAttempt = null;
    long now = System.nanoTime();
    remainingAttempts = keptAttempts + Math.min(lentAttempts, ending.unusedAttempts());
    CallResult result = ending.result();
    Target endedTarget = target;
    TargetId id = endedTarget.id();
    target = null;
    report(id, attemptResultOf(result), now - attemptStartNanos, now);
    lastTarget = id;
    lastLoad = ending.load();
    if (ending.load() != null) {
      collaborators.selector().onLoad(id, ending.load(), now);
      if (nested) {
        dependencies.upstreams().onNestedCallEnded(ending.load(), now);
      }
    }
    if (result instanceof CallResult.Responded) {
      dependencies.notices().onResponse(id, ending.metadata().targetNotice(), now);
      onEstimate(id, ending.metadata().targetEstimate(), now);
    }
    lastResult = result;
    lastRoom = ending.metadata().room();
    lastDownstreamCalls = ending.downstreamCalls();
    callsMade += 1 + lastDownstreamCalls;
    mayHaveRun |= result instanceof CallResult.Failed;
    if (isRefusedAsEvacuated(result)) {
      excludeDataCentre(endedTarget.dataCentre());
    }
    if (isReroutable(result, now)) {
      rerouteCount++;
      tryNextTarget();
    } else if (isRetryable(result) && acquireRetry(now)) {
      retry(result, now);
    } else {
      complete(result);
    }
  }

  private void onEstimate(TargetId id, Optional<TargetEstimate> estimate, long now) {
    dependencies.estimates().onResponse(id, requestKind, estimate, now);
    int concurrency = estimate.isPresent() ? estimate.get().concurrency() : 0;
    long workMicros = estimate.isPresent() ? estimate.get().workMicros() : 0;
    collaborators
        .selector()
        .onEstimate(id, requestKind, concurrency, TimeUnit.MICROSECONDS.toNanos(workMicros), now);
  }

  /**
   * A refusal by the gate is free for the target, so another target may be tried immediately
   * without a charge on the retry budgets.
   */
  private boolean isReroutable(CallResult result, long now) {
    if (rerouteCount >= MAX_REROUTES || now >= deadlineNanos) {
      return false;
    }
    return result instanceof CallResult.Refused refused
        && switch (refused.reason()) {
          case OVERLOAD, DRAINING, EVACUATED, NO_TARGET -> true;
          default -> false;
        };
  }

  private boolean isRetryable(CallResult result) {
    if (result instanceof CallResult.Refused refused) {
      return switch (refused.reason()) {
        case OVERLOAD, SHED, DRAINING, EVACUATED, NO_TARGET -> true;
        default -> false;
      };
    }
    return result instanceof CallResult.Failed failed
        && repeatable
        && failed.reason() != RefusalReason.UPSTREAM_TIMEOUT;
  }

  /**
   * Charges the retry budget with the number of calls that a retry is expected to cause downstream.
   * A failure is thus retried close to where it occurred, rather than by every call above it
   * together with all calls in between.
   */
  private boolean acquireRetry(long now) {
    int cost = 1 + lastDownstreamCalls;
    if (remainingAttempts < cost || now >= deadlineNanos) {
      return false;
    }
    if (!collaborators.throttles().of(head.service()).tryRetry(now)) {
      collaborators.metrics().retriesThrottled.inc();
      return false;
    }
    remainingAttempts -= cost;
    collaborators.metrics().retries.inc();
    return true;
  }

  private void retry(CallResult result, long now) {
    boolean overloaded =
        !(result instanceof CallResult.Refused refused)
            || refused.reason() == RefusalReason.OVERLOAD
            || refused.reason() == RefusalReason.SHED;
    if (!overloaded) {
      tryNextTarget();
      return;
    }
    if (result instanceof CallResult.Failed failed
        && failed.reason() == RefusalReason.UPSTREAM_FAILED) {
      if (deadlineNanos - now <= CRASH_EVALUATION_NANOS) {
        complete(result);
        return;
      }
      backoffTimer =
          collaborators.timers().schedule(now + CRASH_EVALUATION_NANOS, this::tryNextTarget);
      return;
    }
    long maxDelayNanos =
        Math.min(
            MAX_BACKOFF_NANOS, MIN_BACKOFF_NANOS << Math.min(attemptCount, MAX_BACKOFF_DOUBLINGS));
    backoffTimer =
        collaborators
            .timers()
            .schedule(now + dependencies.random().nextLong(maxDelayNanos), this::tryNextTarget);
  }

  /** Returns the result if no target is left; an evacuated service has none. */
  private CallResult resultWithoutTarget() {
    return isRefusedAsEvacuated(lastResult)
        ? new CallResult.Refused(RefusalReason.NO_TARGET, 0)
        : lastResult;
  }

  private static boolean isRefusedAsEvacuated(CallResult result) {
    return result instanceof CallResult.Refused refused
        && refused.reason() == RefusalReason.EVACUATED;
  }

  /**
   * Excludes all targets in a data centre from this request, because the view of this daemon is
   * older than the evacuation and the few permitted reroutes would end there.
   */
  private void excludeDataCentre(DataCentreId dataCentre) {
    for (Target known : collaborators.views().current().targets(head.service())) {
      if (known.dataCentre().equals(dataCentre)) {
        excludedTargets.add(known.id());
      }
    }
  }

  private void onDeadline() {
    if (backoffTimer != null) {
      complete(new CallResult.Refused(RefusalReason.DEADLINE, 0));
      return;
    }
    mayHaveRun = true;
    abortAttempt();
    complete(new CallResult.Failed(RefusalReason.UPSTREAM_TIMEOUT));
  }

  private void abortAttempt() {
    if (cancelAttempt != null) {
      cancelAttempt.run();
      cancelAttempt = null;
    }
    if (target != null) {
      long now = System.nanoTime();
      report(target.id(), AttemptResult.CANCELLED, now - attemptStartNanos, now);
      target = null;
      callsMade++;
    }
  }

  private void report(TargetId id, AttemptResult result, long latencyNanos, long now) {
    collaborators.selector().onResult(id, requestKind, result, latencyNanos, now);
  }

  private void complete(CallResult result) {
    finish();
    if (mayHaveRun && result instanceof CallResult.Refused refused) {
      listener.accept(new CallResult.Failed(refused.reason()));
    } else {
      listener.accept(result);
    }
  }

  private void finish() {
    ended = true;
    if (deadlineTimer != null) {
      deadlineTimer.cancel();
    }
    if (backoffTimer != null) {
      backoffTimer.cancel();
    }
  }

  private static AttemptResult attemptResultOf(CallResult result) {
    if (result instanceof CallResult.Responded answer) {
      return answer.status() < 500 ? AttemptResult.SUCCESS : AttemptResult.FAILURE;
    }
    boolean busy =
        result instanceof CallResult.Refused refused && refused.reason() != RefusalReason.NO_TARGET;
    return busy ? AttemptResult.REFUSED : AttemptResult.FAILURE;
  }
}
