package org.cornelspoke.coordination.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.ClassPolicy;
import org.cornelspoke.state.config.Preset;
import org.junit.jupiter.api.Test;

/** Plays an upstream that states a rate far below the load and the capacity of its slots. */
class StatedRateTest {

  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;
  private static final long TICK_NANOS = 20 * MILLI;
  private static final long SERVICE_NANOS = 60 * MILLI;
  private static final long DEADLINE_NANOS = 5 * SECOND;
  private static final int SLOTS = 253;
  private static final AccountId ACCOUNT = new AccountId("a");

  private final DefaultUpstreamGate gate =
      new DefaultUpstreamGate(preset(), new FixedLimit(SLOTS), 0.15);
  private final RandomGenerator random = new Well19937c(1);
  private final List<Long> admissionsNanos = new ArrayList<>();
  private final Map<TrafficClass, Integer> submitted = new EnumMap<>(TrafficClass.class);
  private final Map<TrafficClass, Integer> admitted = new EnumMap<>(TrafficClass.class);
  private final PriorityQueue<Request> running =
      new PriorityQueue<>((a, b) -> Long.compare(a.endsAtNanos, b.endsAtNanos));
  private final Deque<Request> justAdmitted = new ArrayDeque<>();
  private long nowNanos;

  private final class Request implements UpstreamGate.Listener {
    private final TrafficClass trafficClass;
    private UpstreamGate.Ticket ticket;
    private long endsAtNanos;

    Request(TrafficClass trafficClass) {
      this.trafficClass = trafficClass;
    }

    @Override
    public void onAdmitted() {
      admissionsNanos.add(nowNanos);
      admitted.merge(trafficClass, 1, Integer::sum);
      justAdmitted.add(this);
    }

    @Override
    public void onRefused(RefusalReason reason, long retryAfterMillis) {}
  }

  /** Guards against an upstream that gets more than it states, in any window of time. */
  @Test
  void admissionsStayWithinTheStatedRate() {
    for (double rate : new double[] {0, 0.3, 7, 70.1, 400}) {
      admissionsNanos.clear();
      gate.setRateLimit(Optional.of(StatedRate.spaced(rate)), nowNanos);
      play(500, 12);
      for (int first = 0; first < admissionsNanos.size(); first++) {
        int last = first;
        while (last < admissionsNanos.size()
            && admissionsNanos.get(last) - admissionsNanos.get(first) < 4 * SECOND) {
          last++;
        }
        assertWithMessage("in 4 s at " + rate)
            .that((double) (last - first))
            .isAtMost(1.5 * 4 * rate + 5);
      }
    }
  }

  /** Guards against a limit that wastes what the upstream accepts. */
  @Test
  void admissionsReachTheStatedRate() {
    gate.setRateLimit(Optional.of(StatedRate.spaced(70.1)), nowNanos);
    play(200, 20);
    assertThat(admissionsNanos.size()).isAtLeast((int) (0.95 * 70.1 * 20));
  }

  /** Guards against urgent requests that are refused while less urgent ones are admitted. */
  @Test
  void urgentRequestsComeFirstWithinTheStatedRate() {
    gate.setRateLimit(Optional.of(StatedRate.spaced(70)), nowNanos);
    play(200, 20);
    assertThat(ratio(TrafficClass.CRITICAL)).isAtLeast(0.99);
    assertThat(ratio(TrafficClass.CRITICAL)).isAtLeast(ratio(TrafficClass.INTERACTIVE));
    assertThat(ratio(TrafficClass.INTERACTIVE)).isAtLeast(ratio(TrafficClass.BULK));
  }

  /** Guards against a limit that outlasts its statement. */
  @Test
  void admissionsAreUnlimitedAfterTheEnd() {
    gate.setRateLimit(Optional.of(StatedRate.spaced(7)), nowNanos);
    play(200, 5);
    gate.setRateLimit(Optional.empty(), nowNanos);
    int before = admissionsNanos.size();
    int submittedBefore = submittedTotal();
    play(200, 5);
    assertThat(admissionsNanos.size() - before).isAtLeast(submittedTotal() - submittedBefore);
  }

  private double ratio(TrafficClass trafficClass) {
    return (double) admitted.getOrDefault(trafficClass, 0) / submitted.get(trafficClass);
  }

  private int submittedTotal() {
    return submitted.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Submits requests at random times; a fifth is critical, and a fifth is bulk. */
  private void play(int requestsPerSecond, int seconds) {
    long endNanos = nowNanos + seconds * SECOND;
    long nextTickNanos = nowNanos + TICK_NANOS;
    long nextArrivalNanos = nowNanos + gapNanos(requestsPerSecond);
    while (nowNanos < endNanos) {
      long nextEndNanos = running.isEmpty() ? Long.MAX_VALUE : running.peek().endsAtNanos;
      nowNanos = Math.min(nextTickNanos, Math.min(nextArrivalNanos, nextEndNanos));
      if (nowNanos == nextEndNanos) {
        gate.complete(running.poll().ticket, Completion.SUCCESS, nowNanos);
      } else if (nowNanos == nextArrivalNanos) {
        submit();
        nextArrivalNanos += gapNanos(requestsPerSecond);
      } else {
        gate.onTick(nowNanos);
        nextTickNanos += TICK_NANOS;
      }
      startAdmitted();
    }
  }

  private void submit() {
    double draw = random.nextDouble();
    Request request =
        new Request(
            draw < 0.2
                ? TrafficClass.CRITICAL
                : draw < 0.8 ? TrafficClass.INTERACTIVE : TrafficClass.BULK);
    submitted.merge(request.trafficClass, 1, Integer::sum);
    request.ticket =
        gate.submit(
            new GateRequest(ACCOUNT, 1, request.trafficClass, nowNanos + DEADLINE_NANOS),
            request,
            nowNanos);
  }

  private void startAdmitted() {
    while (!justAdmitted.isEmpty()) {
      Request request = justAdmitted.poll();
      request.endsAtNanos = nowNanos + SERVICE_NANOS;
      running.add(request);
    }
  }

  private long gapNanos(int requestsPerSecond) {
    return Math.max(1, (long) (-Math.log(1 - random.nextDouble()) * SECOND / requestsPerSecond));
  }

  private static Preset preset() {
    return new Preset(
        new PresetName("ordinary"),
        2,
        0.1,
        60_000,
        Map.of(
            TrafficClass.CRITICAL, new ClassPolicy(1, 200, 1_000, false),
            TrafficClass.INTERACTIVE, new ClassPolicy(0.9, 200, 1_000, false),
            TrafficClass.BULK, new ClassPolicy(0.8, 200, 1_000, false)));
  }
}
