package org.cornelspoke.daemon.traffic;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.admission.CallRooms;
import org.cornelspoke.coordination.admission.Completion;
import org.cornelspoke.coordination.admission.GateRequest;
import org.cornelspoke.coordination.admission.UpstreamGate;
import org.cornelspoke.coordination.admission.UpstreamNotice;
import org.cornelspoke.coordination.admission.WorkKind;
import org.cornelspoke.model.CallId;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.protocol.call.CallHead;
import org.cornelspoke.protocol.call.CallOutcome;
import org.cornelspoke.protocol.call.CallResult;
import org.cornelspoke.protocol.call.Headers;
import org.cornelspoke.protocol.call.MessageBody;
import org.cornelspoke.protocol.call.ReplyMetadata;
import org.cornelspoke.protocol.call.RootOrigin;
import org.cornelspoke.transport.http.UpstreamExchange;
import org.cornelspoke.transport.http.UpstreamRequest;
import org.cornelspoke.transport.link.LinkCall;
import org.cornelspoke.util.TimerWheel;

/**
 * One call to a local upstream: waits for admission by the gate, is sent, and reports its result.
 */
final class LocalCall implements UpstreamGate.Listener {

  private enum State {
    WAITING,
    ADMITTED,
    REFUSED,
    RUNNING,
    ENDED
  }

  /** Upper bound for the remaining time sent by a peer, so that the deadline cannot overflow. */
  private static final long MAX_REMAINING_MILLIS = TimeUnit.DAYS.toMillis(30);

  /** Retry delay of requests that crash upstreams; only an operator can release them earlier. */
  static final long QUARANTINE_RETRY_MILLIS = TimeUnit.MINUTES.toMillis(1);

  private final LocalCalls calls;
  private final Collaborators collaborators;
  private final LocalUpstream upstream;
  private final CallHead head;
  private final MessageBody body;
  private final LinkCall.Listener listener;
  private final long startNanos = System.nanoTime();
  private final long deadlineNanos;
  private State state = State.WAITING;
  private UpstreamGate.Ticket ticket;
  private CallResult refusal;
  private boolean submitted;
  private TimerWheel.Timer deadlineTimer;
  private CallId callId;
  private UpstreamExchange exchange;
  private long sentAtNanos;
  private int downstreamCalls;
  private String requestId;
  private GateRequest gateRequest;
  private Optional<CallRooms> callRooms = Optional.empty();
  private boolean working;

  LocalCall(
      LocalCalls calls,
      LocalUpstream upstream,
      CallHead head,
      MessageBody body,
      long deadlineNanos,
      LinkCall.Listener listener) {
    this.calls = calls;
    this.collaborators = calls.collaborators();
    this.upstream = upstream;
    this.head = head;
    this.body = body;
    this.listener = listener;
    this.deadlineNanos = deadlineNanos;
  }

  /** Returns the deadline of a call that arrived at the given time. */
  static long deadlineNanos(CallHead head, long arrivalNanos) {
    return arrivalNanos
        + TimeUnit.MILLISECONDS.toNanos(Math.min(head.remainingMillis(), MAX_REMAINING_MILLIS));
  }

  void start() {
    calls.upstreams().onCallStarted(upstream, startNanos);
    gateRequest = upstream.chains.onArrival(head, deadlineNanos);
    if (isRoot() && !upstream.admitsRoot(head, startNanos)) {
      complete(
          new CallResult.Refused(
              RefusalReason.DOWNSTREAM, upstream.chains.retryAfterMillis(head, startNanos)),
          head.extraAttempts());
      return;
    }
    ticket = upstream.gate.submit(gateRequest, this, startNanos);
    submitted = true;
    applyDecision();
    if (state != State.ENDED) {
      deadlineTimer = collaborators.timers().schedule(deadlineNanos, this::onDeadline);
    }
  }

  @Override
  public void onAdmitted() {
    onDecision(State.ADMITTED);
  }

  @Override
  public void onRefused(RefusalReason reason, long retryAfterMillis) {
    refusal = new CallResult.Refused(reason, Math.max(0, retryAfterMillis));
    onDecision(State.REFUSED);
  }

  /** Cancels the call without reporting a result. */
  void cancel() {
    if (state == State.ENDED) {
      return;
    }
    if (state == State.WAITING) {
      upstream.gate.cancel(ticket, System.nanoTime());
    } else if (state != State.REFUSED) {
      if (exchange != null) {
        exchange.cancel();
      }
      upstream.gate.complete(ticket, Completion.CANCELLED, System.nanoTime());
      endWork(Completion.CANCELLED, System.nanoTime());
    }
    finish();
  }

  /**
   * Applies the gate's decision only after the gate's method has returned: applying it may submit
   * the next request to the same gate, and the ticket is not known before submit returns.
   */
  private void onDecision(State decision) {
    state = decision;
    if (submitted) {
      collaborators.reactor().post(this::applyDecision);
    }
  }

  private void applyDecision() {
    if (state == State.ADMITTED) {
      sendToUpstream();
    } else if (state == State.REFUSED) {
      complete(refusal, head.extraAttempts());
    }
  }

  private void sendToUpstream() {
    state = State.RUNNING;
    sentAtNanos = System.nanoTime();
    boolean makesCalls = upstream.nestedCallStatistics.makesCalls(head.trafficClass());
    Optional<RootOrigin> origin = upstream.chains.originOf(head, makesCalls, sentAtNanos);
    callRooms = upstream.chains.newCallRooms();
    requestId = collaborators.dialect().requestId(head.headers()).orElse(null);
    if (requestId != null) {
      upstream.nestedCallStatistics.onStarted(
          requestId, isRoot() ? head.trafficClass() : null, origin, callRooms);
    }
    collaborators.metrics().gateWaitTime.update(sentAtNanos - startNanos, TimeUnit.NANOSECONDS);
    long remainingNanos = deadlineNanos - sentAtNanos;
    if (remainingNanos <= 0) {
      upstream.gate.complete(ticket, Completion.CANCELLED, sentAtNanos);
      complete(new CallResult.Refused(RefusalReason.DEADLINE, 0), head.extraAttempts());
      return;
    }
    if (calls.upstreams().quarantine().refuses(head, body, sentAtNanos)) {
      upstream.gate.complete(ticket, Completion.CANCELLED, sentAtNanos);
      complete(
          new CallResult.Refused(RefusalReason.QUARANTINED, QUARANTINE_RETRY_MILLIS),
          head.extraAttempts());
      return;
    }
    callId = calls.parents().newId();
    calls.parents().put(callId, new ParentCalls.Parent(deadlineNanos, origin, callRooms));
    collaborators.ledger().open(callId, head.extraAttempts());
    Headers addedHeaders =
        calls.upstreamHeaders(
            head, callId, TimeUnit.NANOSECONDS.toMillis(remainingNanos), upstream.instance());
    UpstreamRequest request =
        new UpstreamRequest(
            head.method(), head.requestTarget(), head.headers(), addedHeaders, body);
    upstream.onSent();
    working = true;
    upstream.capacity.onSent(sentAtNanos);
    exchange =
        upstream.pool.send(
            request,
            new UpstreamExchange.Listener() {
              @Override
              public void onNotice(UpstreamNotice notice) {
                calls.upstreams().onNotice(upstream, notice, sentAtNanos, System.nanoTime());
              }

              @Override
              public void onEnded(CallResult result) {
                onUpstreamEnded(result);
              }
            });
  }

  private void onUpstreamEnded(CallResult result) {
    long now = System.nanoTime();
    collaborators.metrics().upstreamTime.update(now - sentAtNanos, TimeUnit.NANOSECONDS);
    upstream.gate.complete(ticket, completionOf(result), now);
    endWork(completionOf(result), now);
    if (result instanceof CallResult.Responded response && response.status() < 500) {
      calls.upstreams().quarantine().onResponse(head, body);
    } else if (result instanceof CallResult.Failed) {
      LostRequest lost =
          calls.upstreams().quarantine().lost(head, body, connectedAtNanos(), sentAtNanos, now);
      upstream.crashDetector.onConnectionLost(lost);
    }
    complete(result, closeCall());
  }

  private long connectedAtNanos() {
    // The exchange is unknown if it ends while it is being sent.
    return exchange == null ? sentAtNanos : exchange.connectedAtNanos();
  }

  private boolean isRoot() {
    return upstream.chains.isRoot(head);
  }

  private void onDeadline() {
    long now = System.nanoTime();
    if (state == State.WAITING) {
      if (upstream.gate.cancel(ticket, now)) {
        complete(new CallResult.Refused(RefusalReason.DEADLINE, 0), head.extraAttempts());
      }
      return;
    }
    if (state == State.REFUSED) {
      return;
    }
    boolean notRun = exchange == null || exchange.cancel();
    upstream.gate.complete(ticket, Completion.TIMEOUT, now);
    endWork(Completion.TIMEOUT, now);
    complete(
        notRun
            ? new CallResult.Refused(RefusalReason.DEADLINE, 0)
            : new CallResult.Failed(RefusalReason.UPSTREAM_TIMEOUT),
        callId == null ? head.extraAttempts() : closeCall());
  }

  private void complete(CallResult result, int unusedAttempts) {
    finish();
    listener.onEnded(
        new CallOutcome(
            result,
            unusedAttempts,
            downstreamCalls,
            upstream.load(System.nanoTime()),
            ReplyMetadata.NONE
                .withTargetNotice(upstream.targetNotice(System.nanoTime()))
                .withRoom(upstream.chains.room(head, gateRequest, callRooms))
                .withTargetEstimate(upstream.capacity.estimate(workKind(head)))));
  }

  /** Reports the end of a request that was sent to what learns the upstream's capacity. */
  private void endWork(Completion completion, long now) {
    if (working) {
      working = false;
      ParentCalls.Parent parent = calls.parents().get(callId);
      boolean madeCalls = parent != null && parent.downstreamCalls() > 0;
      long nestedNanos = upstream.nestedCallStatistics.nestedNanos(requestId, madeCalls, now);
      upstream.capacity.onEnded(workKind(head), sentAtNanos, nestedNanos, completion, now);
    }
  }

  /** Returns the kind of work of a call. */
  static WorkKind workKind(CallHead head) {
    return WorkKind.of(head.trafficClass(), head.account().equals(EdgeHandler.OPEN_ACCOUNT));
  }

  private int closeCall() {
    int unused = collaborators.ledger().close(callId);
    downstreamCalls = calls.parents().remove(callId);
    callId = null;
    return unused;
  }

  private void finish() {
    state = State.ENDED;
    if (sentAtNanos != 0) {
      upstream.chains.onServed(gateRequest, System.nanoTime() - sentAtNanos);
    }
    if (deadlineTimer != null) {
      deadlineTimer.cancel();
    }
    if (callId != null) {
      closeCall();
    }
    if (requestId != null) {
      upstream.nestedCallStatistics.onEnded(requestId);
    }
    calls.upstreams().onCallEnded(upstream);
  }

  private static Completion completionOf(CallResult result) {
    if (result instanceof CallResult.Responded answer) {
      return answer.status() < 500 ? Completion.SUCCESS : Completion.FAILURE;
    }
    boolean shed =
        result instanceof CallResult.Refused refused && refused.reason() == RefusalReason.SHED;
    return shed ? Completion.SHED : Completion.FAILURE;
  }
}
