package org.cornelspoke.bench.scenario;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.cornelspoke.coordination.admission.Completion;
import org.cornelspoke.coordination.admission.GateRequest;
import org.cornelspoke.coordination.admission.UpstreamGate;
import org.cornelspoke.coordination.routing.RequestKind;
import org.cornelspoke.coordination.routing.TargetSelector.AttemptResult;
import org.cornelspoke.model.CallId;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;

/** A call from a daemon to one service of a chain, with its attempts and nested calls. */
final class Call {

  /**
   * The outcome of a call.
   *
   * @param notRun true if no upstream started to process the request
   * @param nestedCallsMade true if the request caused calls to further services, or may have
   * @param unusedAttempts what remains of the retry budget that the caller passed on
   */
  record Result(boolean success, boolean notRun, boolean nestedCallsMade, int unusedAttempts) {}

  private final Cluster cluster;
  private final Node caller;
  private final List<String> chain;
  private final int position;
  private final GateRequest request;
  private final Consumer<Result> onDone;
  private final Set<TargetId> triedTargets = new HashSet<>();
  private final boolean idempotent;
  private int retryBudget;
  private int attempts;

  Call(
      Cluster cluster,
      Node caller,
      List<String> chain,
      int position,
      GateRequest request,
      boolean idempotent,
      int retryBudget,
      Consumer<Result> onDone) {
    this.cluster = cluster;
    this.caller = caller;
    this.chain = chain;
    this.position = position;
    this.request = request;
    this.idempotent = idempotent;
    this.retryBudget = retryBudget;
    this.onDone = onDone;
  }

  void start() {
    caller.throttle.onRequest(now());
    attempt();
  }

  private long now() {
    return cluster.time.now();
  }

  private void attempt() {
    attempts++;
    ServiceName service = new ServiceName(chain.get(position));
    var target = caller.selector.select(service, triedTargets, now());
    if (target.isEmpty()) {
      onDone.accept(new Result(false, true, false, retryBudget));
      return;
    }
    Node callee = cluster.node(target.get().id());
    triedTargets.add(callee.target.id());
    long startNanos = now();
    long linkDelayNanos = cluster.linkDelayNanos(caller, callee);
    boolean[] replied = new boolean[1];
    Consumer<Result> reply =
        result ->
            cluster.time.after(
                linkDelayNanos,
                () -> {
                  if (!replied[0]) {
                    replied[0] = true;
                    onReply(callee, result, startNanos);
                  }
                });
    cluster.time.after(linkDelayNanos, () -> new Attempt(callee, reply).start());
    // Without a reply from a dead callee, the attempt fails one round trip and 1 ms after
    // the deadline.
    cluster.time.after(
        request.deadlineNanos() - startNanos + 2 * linkDelayNanos + VirtualTime.MILLI,
        () -> reply.accept(new Result(false, false, true, 0)));
  }

  private void onReply(Node callee, Result result, long startNanos) {
    AttemptResult observed =
        result.success()
            ? AttemptResult.SUCCESS
            : result.notRun() && callee.alive ? AttemptResult.REFUSED : AttemptResult.FAILURE;
    boolean nestedFailure = !result.success() && result.nestedCallsMade() && callee.alive;
    caller.selector.onResult(
        callee.target.id(),
        new RequestKind(callee.target.service(), request.trafficClass(), position > 0),
        nestedFailure ? AttemptResult.CANCELLED : observed,
        now() - startNanos,
        now());
    if (callee.alive) {
      caller.selector.onLoad(callee.target.id(), callee.gate.load(), now());
    }
    retryBudget = result.unusedAttempts();
    if (result.success() || !shouldRetry(result)) {
      onDone.accept(
          new Result(result.success(), result.notRun(), result.nestedCallsMade(), retryBudget));
      return;
    }
    retryBudget = Math.max(0, retryBudget - 1);
    attempt();
  }

  private boolean shouldRetry(Result result) {
    if (request.deadlineNanos() - now() <= 0) {
      return false;
    }
    if (cluster.variant.naive()) {
      return attempts < 3;
    }
    boolean retrySafe = result.notRun() || (idempotent && !result.nestedCallsMade());
    return retrySafe && retryBudget > 0 && caller.throttle.tryRetry(now());
  }

  /** One attempt, from its arrival at the callee's daemon. */
  private final class Attempt implements UpstreamGate.Listener {
    private final Node callee;
    private final int incarnation;
    private final Consumer<Result> reply;
    private final CallId id = cluster.newCallId();
    private UpstreamGate gate;
    private UpstreamGate.Ticket ticket;
    private UpstreamServer.Job job;
    private boolean admitted;
    private boolean ended;

    Attempt(Node callee, Consumer<Result> reply) {
      this.callee = callee;
      this.reply = reply;
      this.incarnation = callee.incarnation;
    }

    void start() {
      if (!callee.alive) {
        reply.accept(new Result(false, true, false, retryBudget));
        return;
      }
      gate = callee.gate;
      ticket = gate.submit(request, this, now());
      if (admitted) {
        startWork();
      }
      if (!ended && !cluster.variant.naive()) {
        cluster.time.after(request.deadlineNanos() - now(), this::onDeadline);
      }
    }

    @Override
    public void onAdmitted() {
      admitted = true;
      if (ticket != null) {
        startWork();
      }
    }

    @Override
    public void onRefused(RefusalReason reason, long retryAfterMillis) {
      ended = true;
      reply.accept(new Result(false, true, false, retryBudget));
    }

    private boolean hasDaemonRestarted() {
      return callee.incarnation != incarnation;
    }

    private void startWork() {
      callee.retryBudgets.open(id, retryBudget);
      job = callee.server.serve(this::onWorkDone);
      if (job == null) {
        finish(callee.server.isUp() ? Completion.SHED : Completion.FAILURE, true);
      }
    }

    private void onWorkDone(UpstreamServer.Job finished) {
      if (hasDaemonRestarted() || ended) {
        return;
      }
      if (position + 1 == chain.size()) {
        finish(Completion.SUCCESS, false);
        return;
      }
      int nestedRetryBudget = callee.retryBudgets.borrow(id);
      new Call(
              cluster,
              callee,
              chain,
              position + 1,
              request,
              idempotent,
              nestedRetryBudget,
              result -> {
                if (!hasDaemonRestarted() && !ended) {
                  callee.retryBudgets.returnUnused(id, result.unusedAttempts());
                  finish(result.success() ? Completion.SUCCESS : Completion.FAILURE, false);
                }
              })
          .start();
    }

    private void onDeadline() {
      if (ended || hasDaemonRestarted()) {
        return;
      }
      if (!admitted) {
        ended = true;
        gate.cancel(ticket, now());
        reply.accept(new Result(false, true, false, retryBudget));
      } else {
        finish(Completion.TIMEOUT, false);
      }
    }

    private void finish(Completion completion, boolean notRun) {
      ended = true;
      if (job != null) {
        job.end();
      }
      boolean nestedCallsMade = callee.retryBudgets.hasNestedCalls(id);
      int unused = callee.retryBudgets.close(id);
      // Completes in a separate event, because the gate may still be inside an admission callback.
      cluster.time.after(
          0,
          () -> {
            if (!hasDaemonRestarted()) {
              gate.complete(ticket, completion, now());
            }
          });
      reply.accept(new Result(completion == Completion.SUCCESS, notRun, nestedCallsMade, unused));
    }
  }
}
