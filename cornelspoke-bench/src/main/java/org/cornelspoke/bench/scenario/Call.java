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

  /** How a call ended. */
  record Result(boolean success, boolean notRun, boolean nested, int unusedAttempts) {}

  private final Cluster cluster;
  private final Node caller;
  private final List<String> chain;
  private final int position;
  private final GateRequest request;
  private final Consumer<Result> done;
  private final Set<TargetId> tried = new HashSet<>();
  private final boolean repeatable;
  private int budget;
  private int attempts;

  Call(
      Cluster cluster,
      Node caller,
      List<String> chain,
      int position,
      GateRequest request,
      boolean repeatable,
      int budget,
      Consumer<Result> done) {
    this.cluster = cluster;
    this.caller = caller;
    this.chain = chain;
    this.position = position;
    this.request = request;
    this.repeatable = repeatable;
    this.budget = budget;
    this.done = done;
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
    var target = caller.selector.select(service, tried, now());
    if (target.isEmpty()) {
      done.accept(new Result(false, true, false, budget));
      return;
    }
    Node callee = cluster.node(target.get().id());
    tried.add(callee.target.id());
    long start = now();
    long link = cluster.linkNanos(caller, callee);
    boolean[] replied = new boolean[1];
    Consumer<Result> reply =
        result ->
            cluster.time.after(
                link,
                () -> {
                  if (!replied[0]) {
                    replied[0] = true;
                    onReply(callee, result, start);
                  }
                });
    cluster.time.after(link, () -> new Attempt(callee, reply).start());
    // The caller gives up a little after the deadline, when a dead callee has not answered.
    cluster.time.after(
        request.deadlineNanos() - start + 2 * link + VirtualTime.MILLI,
        () -> reply.accept(new Result(false, false, true, 0)));
  }

  private void onReply(Node callee, Result result, long start) {
    AttemptResult seen =
        result.success()
            ? AttemptResult.SUCCESS
            : result.notRun() && callee.alive ? AttemptResult.REFUSED : AttemptResult.FAILURE;
    boolean nestedFailure = !result.success() && result.nested() && callee.alive;
    caller.selector.onResult(
        callee.target.id(),
        new RequestKind(callee.target.service(), request.trafficClass(), position > 0),
        nestedFailure ? AttemptResult.CANCELLED : seen,
        now() - start,
        now());
    if (callee.alive) {
      caller.selector.onLoad(callee.target.id(), callee.gate.load(), now());
    }
    budget = result.unusedAttempts();
    if (result.success() || !mayRepeat(result)) {
      done.accept(new Result(result.success(), result.notRun(), result.nested(), budget));
      return;
    }
    budget = Math.max(0, budget - 1);
    attempt();
  }

  private boolean mayRepeat(Result result) {
    if (request.deadlineNanos() - now() <= 0) {
      return false;
    }
    if (cluster.variant.naive()) {
      return attempts < 3;
    }
    boolean safe = result.notRun() || (repeatable && !result.nested());
    return safe && budget > 0 && caller.throttle.tryRetry(now());
  }

  /** One attempt at the callee's daemon. */
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
        reply.accept(new Result(false, true, false, budget));
        return;
      }
      gate = callee.gate;
      ticket = gate.submit(request, this, now());
      if (admitted) {
        serve();
      }
      if (!ended && !cluster.variant.naive()) {
        cluster.time.after(request.deadlineNanos() - now(), this::onDeadline);
      }
    }

    @Override
    public void onAdmitted() {
      admitted = true;
      if (ticket != null) {
        serve();
      }
    }

    @Override
    public void onRefused(RefusalReason reason, long retryAfterMillis) {
      ended = true;
      reply.accept(new Result(false, true, false, budget));
    }

    private boolean isLost() {
      return callee.incarnation != incarnation;
    }

    private void serve() {
      callee.ledger.open(id, budget);
      job = callee.server.serve(this::afterWork);
      if (job == null) {
        finish(callee.server.isUp() ? Completion.SHED : Completion.FAILURE, true);
      }
    }

    private void afterWork(UpstreamServer.Job finished) {
      if (isLost() || ended) {
        return;
      }
      if (position + 1 == chain.size()) {
        finish(Completion.SUCCESS, false);
        return;
      }
      int lent = callee.ledger.borrow(id);
      new Call(
              cluster,
              callee,
              chain,
              position + 1,
              request,
              repeatable,
              lent,
              result -> {
                if (!isLost() && !ended) {
                  callee.ledger.returnUnused(id, result.unusedAttempts());
                  finish(result.success() ? Completion.SUCCESS : Completion.FAILURE, false);
                }
              })
          .start();
    }

    private void onDeadline() {
      if (ended || isLost()) {
        return;
      }
      if (!admitted) {
        ended = true;
        gate.cancel(ticket, now());
        reply.accept(new Result(false, true, false, budget));
      } else {
        finish(Completion.TIMEOUT, false);
      }
    }

    private void finish(Completion completion, boolean notRun) {
      ended = true;
      if (job != null) {
        job.end();
      }
      boolean nested = callee.ledger.hasNestedCalls(id);
      int unused = callee.ledger.close(id);
      // Completed in a new event, since the gate may be in the middle of an admission.
      cluster.time.after(
          0,
          () -> {
            if (!isLost()) {
              gate.complete(ticket, completion, now());
            }
          });
      reply.accept(new Result(completion == Completion.SUCCESS, notRun, nested, unused));
    }
  }
}
