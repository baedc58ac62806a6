package org.cornelspoke.daemon.traffic;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.coordination.routing.RequestKind;
import org.cornelspoke.coordination.routing.TargetSelector.AttemptResult;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.protocol.call.CallHead;
import org.cornelspoke.protocol.call.CallOutcome;
import org.cornelspoke.protocol.call.CallResult;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.transport.link.LinkCall;
import org.cornelspoke.transport.link.PeerLink;
import org.cornelspoke.util.TimerWheel;

/**
 * The attempts of one request. A request that may not be repeated is tried again only on proof that
 * it has not run. Once an attempt may have run, the final result says so, whatever later attempts
 * report.
 */
final class Forwarding {

  /** Time for the target's own, more exact deadline report to arrive. */
  private static final long DEADLINE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private static final long MIN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
  private static final long MAX_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final int MAX_BACKOFF_DOUBLINGS = 5;

  /** Further targets that are asked after gates have refused; each costs a round trip. */
  private static final int MAX_REROUTES = 2;

  private final ForwardingParts parts;
  private final Collaborators with;
  private final CallHead head;
  private final byte[] body;
  private final boolean repeatable;
  private final boolean nested;
  private final RequestKind kind;
  private final long deadlineNanos;
  private final Consumer<CallResult> listener;
  private final Set<TargetId> tried = new HashSet<>();
  private TimerWheel.Timer deadline;
  private TimerWheel.Timer backoff;
  private Runnable cancelAttempt;
  private Target target;
  private CallResult lastResult = new CallResult.Refused(RefusalReason.NO_TARGET, 0);
  private long attemptNanos;
  private int attempt;
  private int reroutes;
  private TargetId lastTarget;
  private GateLoad lastLoad;
  private int kept;
  private int lent;
  private int remaining;
  private int lastCallsBelow;
  private int callsMade;
  private boolean mayHaveRun;
  private boolean ended;

  Forwarding(
      ForwardingParts parts,
      CallHead head,
      byte[] body,
      boolean repeatable,
      boolean nested,
      long deadlineNanos,
      Consumer<CallResult> listener) {
    this.nested = nested;
    this.kind = new RequestKind(head.service(), head.trafficClass(), nested);
    this.parts = parts;
    this.with = parts.with();
    this.head = head;
    this.body = body;
    this.repeatable = repeatable;
    this.deadlineNanos = deadlineNanos;
    this.listener = listener;
    this.remaining = head.extraAttempts();
  }

  void start() {
    with.throttles().of(head.service()).onRequest(System.nanoTime());
    tryNextTarget();
    if (!ended) {
      deadline = with.timers().schedule(deadlineNanos + DEADLINE_GRACE_NANOS, this::onDeadline);
    }
  }

  /** Gives up the request without a result. */
  void cancel() {
    if (!ended) {
      abortAttempt();
      finish();
    }
  }

  /** Returns the extra attempts that were not used; valid once the request has ended. */
  int unusedAttempts() {
    return remaining;
  }

  /** Adds to a log line which targets were tried and what the last one reported. */
  void describe(StringBuilder line) {
    line.append(" targets=").append(tried.size()).append(" sent=").append(attempt);
    line.append(" reroutes=").append(reroutes).append(" lastTarget=").append(lastTarget);
    if (lastLoad != null) {
      line.append(" gateInFlight=").append(lastLoad.inFlight());
      line.append(" gateQueued=").append(lastLoad.queued());
      line.append(" gateLimit=").append(lastLoad.limit());
    }
  }

  /** Returns the calls that this request has caused; valid once the request has ended. */
  int callsMade() {
    return callsMade;
  }

  /** Targets that can't be reached are skipped; only a call that was sent counts as attempt. */
  private void tryNextTarget() {
    backoff = null;
    while (true) {
      long now = System.nanoTime();
      Optional<Target> selected = with.selector().select(head.service(), tried, now);
      if (selected.isEmpty()) {
        end(lastResult);
        return;
      }
      target = selected.get();
      tried.add(target.id());
      if (parts.upstreams().isLocal(target)) {
        LocalUpstream local = parts.upstreams().find(head.service());
        if (local != null && !local.draining) {
          callLocal(now);
          return;
        }
        report(target.id(), AttemptResult.REFUSED, 0, now);
      } else {
        PeerLink link = parts.links().find(target);
        if (link != null && link.isReady()) {
          callPeer(link, now);
          return;
        }
        boolean leaving = link != null && link.isGoingAway();
        report(target.id(), leaving ? AttemptResult.REFUSED : AttemptResult.FAILURE, 0, now);
      }
    }
  }

  private void callLocal(long now) {
    CallHead attemptHead = beginAttempt(now);
    int number = attempt;
    LocalCall call = parts.localCalls().start(attemptHead, body, this::onEnded);
    if (call != null) {
      setCancel(number, call::cancel);
    }
  }

  private void callPeer(PeerLink link, long now) {
    CallHead attemptHead = beginAttempt(now);
    int number = attempt;
    LinkCall call = link.call(attemptHead, body, this::onEnded);
    setCancel(number, call::cancel);
  }

  /** Does nothing if the attempt has ended before its start returned. */
  private void setCancel(int number, Runnable cancel) {
    if (!ended && attempt == number && target != null) {
      cancelAttempt = cancel;
    }
  }

  private CallHead beginAttempt(long now) {
    attempt++;
    attemptNanos = now;
    with.metrics().attempts.inc();
    // Half stays here: if the target fails with all it was lent, another target can still be tried.
    kept = remaining / 2;
    lent = remaining - kept;
    remaining = kept;
    long leftMillis = Math.max(0, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - now));
    return head.forAttempt(leftMillis, lent);
  }

  private void onEnded(CallOutcome ending) {
    if (ended) {
      return;
    }
    cancelAttempt = null;
    long now = System.nanoTime();
    remaining = kept + Math.min(lent, ending.unusedAttempts());
    CallResult result = ending.result();
    TargetId id = target.id();
    target = null;
    report(id, attemptResultOf(result), now - attemptNanos, now);
    lastTarget = id;
    lastLoad = ending.load();
    if (ending.load() != null) {
      with.selector().onLoad(id, ending.load(), now);
      if (nested) {
        parts.upstreams().onNestedCallEnded(ending.load(), now);
      }
    }
    lastResult = result;
    lastCallsBelow = ending.nestedCallCount();
    callsMade += 1 + lastCallsBelow;
    mayHaveRun |= result instanceof CallResult.Failed;
    if (isReroutable(result, now)) {
      reroutes++;
      tryNextTarget();
    } else if (isWorthRetry(result) && takeRetry(now)) {
      retry(result, now);
    } else {
      end(result);
    }
  }

  /**
   * A refusal by the gate cost the target nothing, so another target may be asked at once and
   * without a charge on the retry budgets.
   */
  private boolean isReroutable(CallResult result, long now) {
    if (reroutes >= MAX_REROUTES || now >= deadlineNanos) {
      return false;
    }
    return result instanceof CallResult.Refused refused
        && switch (refused.reason()) {
          case OVERLOAD, DRAINING, NO_TARGET -> true;
          default -> false;
        };
  }

  private boolean isWorthRetry(CallResult result) {
    if (result instanceof CallResult.Refused refused) {
      return switch (refused.reason()) {
        case OVERLOAD, SHED, DRAINING, NO_TARGET -> true;
        default -> false;
      };
    }
    return result instanceof CallResult.Failed failed
        && repeatable
        && failed.reason() != RefusalReason.UPSTREAM_TIMEOUT;
  }

  /**
   * A retry is charged with the calls that it is expected to cause below it. So a failure is
   * retried close to where it happened, and not by every call above it together with all calls
   * between.
   */
  private boolean takeRetry(long now) {
    int cost = 1 + lastCallsBelow;
    if (remaining < cost || now >= deadlineNanos) {
      return false;
    }
    if (!with.throttles().of(head.service()).tryRetry(now)) {
      with.metrics().retriesThrottled.inc();
      return false;
    }
    remaining -= cost;
    with.metrics().retries.inc();
    return true;
  }

  private void retry(CallResult result, long now) {
    boolean loaded =
        !(result instanceof CallResult.Refused refused)
            || refused.reason() == RefusalReason.OVERLOAD
            || refused.reason() == RefusalReason.SHED;
    if (!loaded) {
      tryNextTarget();
      return;
    }
    long ceiling =
        Math.min(MAX_BACKOFF_NANOS, MIN_BACKOFF_NANOS << Math.min(attempt, MAX_BACKOFF_DOUBLINGS));
    backoff = with.timers().schedule(now + parts.random().nextLong(ceiling), this::tryNextTarget);
  }

  private void onDeadline() {
    if (backoff != null) {
      end(new CallResult.Refused(RefusalReason.DEADLINE, 0));
      return;
    }
    mayHaveRun = true;
    abortAttempt();
    end(new CallResult.Failed(RefusalReason.UPSTREAM_TIMEOUT));
  }

  private void abortAttempt() {
    if (cancelAttempt != null) {
      cancelAttempt.run();
      cancelAttempt = null;
    }
    if (target != null) {
      long now = System.nanoTime();
      report(target.id(), AttemptResult.CANCELLED, now - attemptNanos, now);
      target = null;
      callsMade++;
    }
  }

  private void report(TargetId id, AttemptResult result, long latencyNanos, long now) {
    with.selector().onResult(id, kind, result, latencyNanos, now);
  }

  private void end(CallResult result) {
    finish();
    if (mayHaveRun && result instanceof CallResult.Refused refused) {
      listener.accept(new CallResult.Failed(refused.reason()));
    } else {
      listener.accept(result);
    }
  }

  private void finish() {
    ended = true;
    if (deadline != null) {
      deadline.cancel();
    }
    if (backoff != null) {
      backoff.cancel();
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
