package org.cornelspoke.coordination.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import org.apache.commons.math3.random.Well19937c;
import org.cornelspoke.coordination.admission.Completion;
import org.cornelspoke.coordination.admission.DefaultUpstreamGate;
import org.cornelspoke.coordination.admission.FixedLimit;
import org.cornelspoke.coordination.admission.GateRequest;
import org.cornelspoke.coordination.admission.StatedRate;
import org.cornelspoke.coordination.admission.UpstreamGate;
import org.cornelspoke.coordination.routing.TargetSelector.AttemptResult;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.ClassPolicy;
import org.cornelspoke.state.config.Preset;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.registry.TargetState;
import org.junit.jupiter.api.Test;

/**
 * Plays a local target that states a rate below the load, beside a remote one with free slots. The
 * upstreams work for 60 ms on each request.
 */
class LimitedTargetTest {

  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;
  private static final long TICK_NANOS = 20 * MILLI;
  private static final long SERVICE_NANOS = 60 * MILLI;
  private static final long PROMPT_NANOS = 200 * MILLI;
  private static final int SLOTS = 253;
  private static final int REQUESTS_PER_SECOND = 170;
  private static final double STATED_RATE = 70;
  private static final ServiceName SERVICE = new ServiceName("svc");
  private static final RequestKind KIND = new RequestKind(SERVICE, TrafficClass.INTERACTIVE, false);
  private static final DataCentreId HERE = new DataCentreId("here");

  private final Target local = target("local", HERE);
  private final Target remote = target("remote", new DataCentreId("there"));
  private final Map<TargetId, UpstreamGate> gates = new HashMap<>();
  private final DefaultTargetSelector selector =
      new DefaultTargetSelector(new DaemonId("me"), HERE, 20, new Well19937c(1));
  private final PriorityQueue<Request> running =
      new PriorityQueue<>((a, b) -> Long.compare(a.endsAtNanos, b.endsAtNanos));
  private long nowNanos = SECOND;
  private int submitted;
  private int prompt;

  private final class Request implements UpstreamGate.Listener {
    private final Target target;
    private final long startNanos = nowNanos;
    private UpstreamGate.Ticket ticket;
    private long endsAtNanos;

    Request(Target target) {
      this.target = target;
    }

    @Override
    public void onAdmitted() {
      endsAtNanos = nowNanos + SERVICE_NANOS;
      running.add(this);
    }

    @Override
    public void onRefused(RefusalReason reason, long retryAfterMillis) {
      report(AttemptResult.REFUSED);
    }

    void end() {
      gates.get(target.id()).complete(ticket, Completion.SUCCESS, nowNanos);
      prompt += nowNanos - startNanos <= PROMPT_NANOS ? 1 : 0;
      report(AttemptResult.SUCCESS);
    }

    private void report(AttemptResult result) {
      selector.onResult(target.id(), KIND, result, nowNanos - startNanos, nowNanos);
      selector.onLoad(target.id(), gates.get(target.id()).load(), nowNanos);
    }
  }

  /** Guards against requests that wait at a limited target while another one has free slots. */
  @Test
  void requestsDoNotWaitForALimitedTargetWhileAnotherIsFree() {
    for (Target target : List.of(local, remote)) {
      gates.put(target.id(), new DefaultUpstreamGate(preset(), new FixedLimit(SLOTS)));
    }
    selector.setTargets(Map.of(SERVICE, List.of(local, remote)), nowNanos);
    gates.get(local.id()).setRateLimit(Optional.of(StatedRate.spaced(STATED_RATE)), nowNanos);

    play(20);

    assertThat((double) prompt / submitted).isAtLeast(0.95);
  }

  private void play(int seconds) {
    long endNanos = nowNanos + seconds * SECOND;
    long nextTickNanos = nowNanos + TICK_NANOS;
    long nextArrivalNanos = nowNanos;
    while (nowNanos < endNanos) {
      long nextEndNanos = running.isEmpty() ? Long.MAX_VALUE : running.peek().endsAtNanos;
      nowNanos = Math.min(nextTickNanos, Math.min(nextArrivalNanos, nextEndNanos));
      if (nowNanos == nextEndNanos) {
        running.poll().end();
      } else if (nowNanos == nextArrivalNanos) {
        submit();
        nextArrivalNanos += SECOND / REQUESTS_PER_SECOND;
      } else {
        gates.values().forEach(gate -> gate.onTick(nowNanos));
        nextTickNanos += TICK_NANOS;
      }
    }
  }

  private void submit() {
    submitted++;
    Request request = new Request(selector.select(SERVICE, Set.of(), nowNanos).orElseThrow());
    request.ticket =
        gates
            .get(request.target.id())
            .submit(
                new GateRequest(
                    new AccountId("a"), 1, TrafficClass.INTERACTIVE, nowNanos + 5 * SECOND),
                request,
                nowNanos);
  }

  private static Target target(String name, DataCentreId dataCentre) {
    return new Target(
        new TargetId(name),
        SERVICE,
        new DaemonId(name),
        dataCentre,
        new Endpoint("127.0.0.1", 1),
        SLOTS,
        TargetState.UP);
  }

  private static Preset preset() {
    ClassPolicy policy = new ClassPolicy(1, 200, 1_000, false);
    return new Preset(
        new PresetName("ordinary"),
        2,
        0.1,
        60_000,
        Map.of(
            TrafficClass.CRITICAL, policy,
            TrafficClass.INTERACTIVE, policy,
            TrafficClass.BULK, policy));
  }
}
