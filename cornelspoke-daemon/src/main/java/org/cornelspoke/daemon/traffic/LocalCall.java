package org.cornelspoke.daemon.traffic;

import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.admission.Completion;
import org.cornelspoke.coordination.admission.GateRequest;
import org.cornelspoke.coordination.admission.UpstreamGate;
import org.cornelspoke.model.CallId;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.protocol.call.CallHead;
import org.cornelspoke.protocol.call.CallOutcome;
import org.cornelspoke.protocol.call.CallResult;
import org.cornelspoke.protocol.call.Headers;
import org.cornelspoke.transport.http.UpstreamExchange;
import org.cornelspoke.transport.http.UpstreamRequest;
import org.cornelspoke.transport.link.LinkCall;
import org.cornelspoke.util.TimerWheel;

/** One call at the upstream beside this daemon: through its gate, to the upstream and back. */
final class LocalCall implements UpstreamGate.Listener {

  private enum State {
    WAITING,
    ADMITTED,
    REFUSED,
    RUNNING,
    ENDED
  }

  /** Keeps a deadline from overflowing the clock, whatever a peer sends. */
  private static final long MAX_REMAINING_MILLIS = TimeUnit.DAYS.toMillis(30);

  /** The queues below shrink within this time once fewer root requests are started. */
  private static final long DOWNSTREAM_RETRY_MILLIS = 1_000;

  private final LocalCalls calls;
  private final Collaborators with;
  private final LocalUpstream upstream;
  private final CallHead head;
  private final byte[] body;
  private final LinkCall.Listener listener;
  private final long startNanos = System.nanoTime();
  private final long deadlineNanos;
  private State state = State.WAITING;
  private UpstreamGate.Ticket ticket;
  private CallResult refusal;
  private boolean submitted;
  private TimerWheel.Timer deadline;
  private CallId callId;
  private UpstreamExchange exchange;
  private long sentNanos;
  private int callsBelow;
  private String requestId;

  LocalCall(
      LocalCalls calls,
      LocalUpstream upstream,
      CallHead head,
      byte[] body,
      LinkCall.Listener listener) {
    this.calls = calls;
    this.with = calls.with();
    this.upstream = upstream;
    this.head = head;
    this.body = body;
    this.listener = listener;
    this.deadlineNanos =
        startNanos
            + TimeUnit.MILLISECONDS.toNanos(Math.min(head.remainingMillis(), MAX_REMAINING_MILLIS));
  }

  void start() {
    calls.upstreams().onCallStarted(upstream);
    if (isRoot() && !upstream.admitsRoot(head.trafficClass(), startNanos)) {
      end(
          new CallResult.Refused(RefusalReason.DOWNSTREAM, DOWNSTREAM_RETRY_MILLIS),
          head.extraAttempts());
      return;
    }
    GateRequest request =
        new GateRequest(head.account(), head.weight(), head.trafficClass(), deadlineNanos);
    ticket = upstream.gate.submit(request, this, startNanos);
    submitted = true;
    runDecision();
    if (state != State.ENDED) {
      deadline = with.timers().schedule(deadlineNanos, this::onDeadline);
    }
  }

  @Override
  public void onAdmitted() {
    decide(State.ADMITTED);
  }

  @Override
  public void onRefused(RefusalReason reason, long retryAfterMillis) {
    refusal = new CallResult.Refused(reason, Math.max(0, retryAfterMillis));
    decide(State.REFUSED);
  }

  /** Gives up the call without an answer. */
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
    }
    finish();
  }

  /**
   * Acts on a decision only after the gate's method has returned: what follows may offer the next
   * request to the same gate, and while submit runs, the ticket is not yet known.
   */
  private void decide(State decision) {
    state = decision;
    if (submitted) {
      with.reactor().post(this::runDecision);
    }
  }

  private void runDecision() {
    if (state == State.ADMITTED) {
      run();
    } else if (state == State.REFUSED) {
      end(refusal, head.extraAttempts());
    }
  }

  private void run() {
    state = State.RUNNING;
    requestId = with.dialect().requestId(head.headers()).orElse(null);
    if (requestId != null) {
      upstream.callers.onStarted(requestId, isRoot() ? head.trafficClass() : null);
    }
    sentNanos = System.nanoTime();
    with.metrics().gateWaitTime.update(sentNanos - startNanos, TimeUnit.NANOSECONDS);
    long leftNanos = deadlineNanos - sentNanos;
    if (leftNanos <= 0) {
      upstream.gate.complete(ticket, Completion.CANCELLED, sentNanos);
      end(new CallResult.Refused(RefusalReason.DEADLINE, 0), head.extraAttempts());
      return;
    }
    callId = calls.parents().newId();
    calls.parents().put(callId, new ParentCalls.Parent(deadlineNanos));
    with.ledger().open(callId, head.extraAttempts());
    Headers extra =
        calls.upstreamHeaders(
            head, callId, TimeUnit.NANOSECONDS.toMillis(leftNanos), upstream.instance);
    UpstreamRequest request =
        new UpstreamRequest(head.method(), head.requestTarget(), head.headers(), extra, body);
    exchange = upstream.pool.send(request, this::onUpstreamEnded);
  }

  private void onUpstreamEnded(CallResult result) {
    long now = System.nanoTime();
    with.metrics().upstreamTime.update(now - sentNanos, TimeUnit.NANOSECONDS);
    upstream.gate.complete(ticket, completionOf(result), now);
    end(result, closeLedger());
  }

  /** Requests without an account of their own are calls of other upstreams. */
  private boolean isRoot() {
    return !head.account().equals(EdgeHandler.OPEN_ACCOUNT);
  }

  private void onDeadline() {
    long now = System.nanoTime();
    if (state == State.WAITING) {
      if (upstream.gate.cancel(ticket, now)) {
        end(new CallResult.Refused(RefusalReason.DEADLINE, 0), head.extraAttempts());
      }
      return;
    }
    if (state == State.REFUSED) {
      return;
    }
    boolean notRun = exchange == null || exchange.cancel();
    upstream.gate.complete(ticket, Completion.TIMEOUT, now);
    end(
        notRun
            ? new CallResult.Refused(RefusalReason.DEADLINE, 0)
            : new CallResult.Failed(RefusalReason.UPSTREAM_TIMEOUT),
        callId == null ? head.extraAttempts() : closeLedger());
  }

  private void end(CallResult result, int unusedAttempts) {
    finish();
    listener.onEnded(
        new CallOutcome(result, unusedAttempts, callsBelow, upstream.load(System.nanoTime())));
  }

  private int closeLedger() {
    int unused = with.ledger().close(callId);
    callsBelow = calls.parents().remove(callId);
    callId = null;
    return unused;
  }

  private void finish() {
    state = State.ENDED;
    if (deadline != null) {
      deadline.cancel();
    }
    if (callId != null) {
      closeLedger();
    }
    if (requestId != null) {
      upstream.callers.onEnded(requestId);
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
