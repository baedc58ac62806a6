package org.cornelspoke.coordination.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.cornelspoke.coordination.admission.UpstreamGate.Ticket;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.ClassPolicy;
import org.cornelspoke.state.config.Preset;
import org.junit.jupiter.api.Test;

/** Guards against gates that let low-priority requests displace high-priority ones. */
class DefaultUpstreamGateTest {

  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000_000_000L;
  private static final AccountId A = new AccountId("a");
  private static final AccountId B = new AccountId("b");

  private static final List<TrafficClass> CLASSES = List.of(TrafficClass.values());
  private static final List<Completion> COMPLETIONS = List.of(Completion.values());

  private static Preset preset(int queueLimit, long newestFirstAfterMillis) {
    return new Preset(
        new PresetName("ordinary"),
        2,
        0.1,
        newestFirstAfterMillis,
        Map.of(
            TrafficClass.CRITICAL, new ClassPolicy(1, queueLimit, 1000, false),
            TrafficClass.INTERACTIVE, new ClassPolicy(0.9, queueLimit, 1000, false),
            TrafficClass.BULK, new ClassPolicy(0.5, queueLimit, 1000, false)));
  }

  private static DefaultUpstreamGate gate(int slots, int queueLimit) {
    return new DefaultUpstreamGate(preset(queueLimit, 60_000), new FixedLimit(slots));
  }

  /** Records the decision about one request. */
  private static final class Decision implements UpstreamGate.Listener {
    private int admitted;
    private int refused;
    private RefusalReason reason;
    private Ticket ticket;

    @Override
    public void onAdmitted() {
      admitted++;
    }

    @Override
    public void onRefused(RefusalReason refusalReason, long retryAfterMillis) {
      refused++;
      reason = refusalReason;
    }
  }

  private static Decision submit(
      UpstreamGate gate, AccountId account, TrafficClass trafficClass, long deadline, long now) {
    Decision decision = new Decision();
    decision.ticket =
        gate.submit(new GateRequest(account, 1, trafficClass, deadline), decision, now);
    return decision;
  }

  private static Decision submit(UpstreamGate gate, AccountId account, TrafficClass trafficClass) {
    return submit(gate, account, trafficClass, 100 * SECOND, 0);
  }

  @Test
  void higherClassIsServedFirstAndEvictsLowerOnesFromAFullQueue() {
    UpstreamGate gate = gate(1, 1);
    Decision running = submit(gate, A, TrafficClass.CRITICAL);
    Decision bulk = submit(gate, A, TrafficClass.BULK);
    Decision interactive = submit(gate, A, TrafficClass.INTERACTIVE);
    Decision first = submit(gate, A, TrafficClass.CRITICAL);
    Decision second = submit(gate, B, TrafficClass.CRITICAL);
    Decision third = submit(gate, B, TrafficClass.CRITICAL);
    assertThat(bulk.reason).isEqualTo(RefusalReason.OVERLOAD);
    assertThat(interactive.reason).isEqualTo(RefusalReason.OVERLOAD);
    Decision late = submit(gate, B, TrafficClass.BULK);
    assertThat(late.reason).isEqualTo(RefusalReason.OVERLOAD);
    gate.complete(running.ticket, Completion.SUCCESS, 1);
    assertThat(first.admitted + second.admitted + third.admitted).isEqualTo(1);
  }

  @Test
  void lowerClassesLeaveSlotsForHigherOnes() {
    UpstreamGate gate = gate(10, 50);
    int bulk = 0;
    for (int i = 0; i < 20; i++) {
      bulk += submit(gate, A, TrafficClass.BULK).admitted;
    }
    int interactive = 0;
    for (int i = 0; i < 20; i++) {
      interactive += submit(gate, A, TrafficClass.INTERACTIVE).admitted;
    }
    assertThat(bulk).isEqualTo(5);
    assertThat(interactive).isEqualTo(4);
    assertThat(submit(gate, A, TrafficClass.CRITICAL).admitted).isEqualTo(1);
    assertThat(submit(gate, A, TrafficClass.CRITICAL).admitted).isEqualTo(0);
  }

  @Test
  void requestThatCannotFinishInTimeIsRefusedAtOnce() {
    UpstreamGate gate = gate(1, 50);
    Decision first = submit(gate, A, TrafficClass.CRITICAL);
    gate.complete(first.ticket, Completion.SUCCESS, 100 * MILLI);
    Decision running = submit(gate, A, TrafficClass.CRITICAL, 100 * SECOND, 100 * MILLI);
    assertThat(running.admitted).isEqualTo(1);
    Decision shortDeadline = submit(gate, A, TrafficClass.CRITICAL, 200 * MILLI, 100 * MILLI);
    assertThat(shortDeadline.reason).isEqualTo(RefusalReason.DEADLINE);
    Decision longDeadline = submit(gate, A, TrafficClass.CRITICAL, 900 * MILLI, 100 * MILLI);
    assertThat(longDeadline.refused).isEqualTo(0);
  }

  @Test
  void newestIsServedFirstAfterSustainedQueueing() {
    UpstreamGate gate = new DefaultUpstreamGate(preset(50, 100), new FixedLimit(1));
    Decision running = submit(gate, A, TrafficClass.CRITICAL);
    Decision old = submit(gate, A, TrafficClass.CRITICAL);
    Decision recent = submit(gate, A, TrafficClass.CRITICAL, 100 * SECOND, 200 * MILLI);
    gate.complete(running.ticket, Completion.SUCCESS, 200 * MILLI);
    assertThat(recent.admitted).isEqualTo(1);
    assertThat(old.admitted).isEqualTo(0);
  }

  @Test
  void drainingGateRefusesNewRequestsAndServesTheQueue() {
    UpstreamGate gate = gate(1, 50);
    Decision running = submit(gate, A, TrafficClass.CRITICAL);
    Decision waiting = submit(gate, A, TrafficClass.CRITICAL);
    gate.setDraining(true);
    assertThat(submit(gate, A, TrafficClass.CRITICAL).reason).isEqualTo(RefusalReason.DRAINING);
    gate.complete(running.ticket, Completion.SUCCESS, 1);
    assertThat(waiting.admitted).isEqualTo(1);
  }

  /** Guards against queued requests that are admitted long after draining has begun. */
  @Test
  void drainingGateRefusesQueuedRequestsAtTheNextTick() {
    UpstreamGate gate = gate(1, 50);
    submit(gate, A, TrafficClass.CRITICAL);
    Decision waiting = submit(gate, A, TrafficClass.CRITICAL);
    gate.setDraining(true);
    gate.onTick(1);
    assertThat(waiting.reason).isEqualTo(RefusalReason.DRAINING);
  }

  /**
   * Guards against requests to an evacuated upstream, and against running ones that are aborted.
   */
  @Test
  void evacuatedGateRefusesNewAndQueuedRequestsAndCompletesRunningOnes() {
    UpstreamGate gate = gate(1, 50);
    Decision running = submit(gate, A, TrafficClass.CRITICAL);
    Decision waiting = submit(gate, A, TrafficClass.CRITICAL);
    gate.setEvacuated(true);
    assertThat(submit(gate, A, TrafficClass.CRITICAL).reason).isEqualTo(RefusalReason.EVACUATED);
    gate.onTick(1);
    assertThat(waiting.reason).isEqualTo(RefusalReason.EVACUATED);
    gate.complete(running.ticket, Completion.SUCCESS, 2);
    assertThat(running.admitted).isEqualTo(1);
    gate.setEvacuated(false);
    assertThat(submit(gate, A, TrafficClass.CRITICAL).admitted).isEqualTo(1);
  }

  /** Guards against a restoration that sends requests to an upstream that is leaving. */
  @Test
  void gateOfADrainingUpstreamStaysClosedAfterTheEvacuation() {
    UpstreamGate gate = gate(1, 50);
    gate.setEvacuated(true);
    gate.setDraining(true);
    gate.setEvacuated(false);
    assertThat(submit(gate, A, TrafficClass.CRITICAL).reason).isEqualTo(RefusalReason.DRAINING);
  }

  /** Guards against interactive requests that are starved by nested calls of the class CRITICAL. */
  @Test
  void interactiveRequestsKeepTheirFractionOfTheSlots() {
    UpstreamGate gate =
        new DefaultUpstreamGate(preset(50, Long.MAX_VALUE / MILLI), new FixedLimit(10), 0.2);
    List<Decision> critical = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      critical.add(submit(gate, A, TrafficClass.CRITICAL));
    }
    List<Decision> interactive = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      interactive.add(submit(gate, B, TrafficClass.INTERACTIVE));
    }
    for (int i = 0; i < 4; i++) {
      gate.complete(critical.get(i).ticket, Completion.SUCCESS, 1);
    }
    assertThat(interactive.stream().mapToInt(d -> d.admitted).sum()).isEqualTo(2);
    assertThat(critical.stream().mapToInt(d -> d.admitted).sum()).isEqualTo(12);
  }

  @Test
  void completingTwiceThrows() {
    UpstreamGate gate = gate(1, 50);
    Decision running = submit(gate, A, TrafficClass.CRITICAL);
    gate.complete(running.ticket, Completion.SUCCESS, 1);
    assertThrows(
        IllegalStateException.class, () -> gate.complete(running.ticket, Completion.SUCCESS, 2));
  }

  @Test
  void everyRequestIsDecidedOnceUnderRandomSchedules() {
    for (int seed = 1; seed <= 20; seed++) {
      RandomGenerator random = new Well19937c(seed);
      ConcurrencyLimit limit = new AimdLimit(12);
      UpstreamGate gate = new DefaultUpstreamGate(preset(8, 300), limit);
      List<Decision> decisions = new ArrayList<>();
      long now = 0;
      for (int step = 0; step < 3000; step++) {
        now += random.nextInt((int) (10 * MILLI));
        Decision selected =
            decisions.isEmpty() ? null : decisions.get(random.nextInt(decisions.size()));
        switch (random.nextInt(4)) {
          case 0, 1 ->
              decisions.add(
                  submit(
                      gate,
                      random.nextBoolean() ? A : B,
                      CLASSES.get(random.nextInt(3)),
                      now + random.nextInt((int) SECOND),
                      now));
          case 2 -> {
            List<Decision> admitted =
                decisions.stream().filter(d -> d.admitted == 1 && d.ticket != null).toList();
            if (!admitted.isEmpty()) {
              Decision done = admitted.get(random.nextInt(admitted.size()));
              gate.complete(done.ticket, COMPLETIONS.get(random.nextInt(5)), now);
              done.ticket = null;
            }
          }
          default -> {
            if (selected != null && selected.ticket != null && random.nextInt(10) == 0) {
              gate.cancel(selected.ticket, now);
            }
            gate.onTick(now);
          }
        }
        assertThat(limit.limit()).isAtMost(12);
        assertThat(gate.load().queued()).isAtMost(24);
      }
      for (Decision decision : decisions) {
        assertWithMessage("seed %s", seed).that(decision.admitted + decision.refused).isAtMost(1);
      }
      gate.onTick(now + 2 * SECOND);
      assertThat(gate.load().queued()).isEqualTo(0);
    }
  }

  /**
   * Returns the slot time used by two accounts, of which A sends ten times as many requests as B
   * with a fifth of the service time.
   */
  private static Map<AccountId, Long> slotTimeOfUnequalAccounts(boolean fair) {
    RandomGenerator random = new Well19937c(11);
    UpstreamModel upstream = new UpstreamModel(10);
    UpstreamGate gate = gate(10, 200);
    Map<AccountId, Long> slotNanos = new HashMap<>();
    for (AccountId account : List.of(A, B)) {
      double perSecond = account.equals(A) ? 2000 : 200;
      double meanNanos = account.equals(A) ? 10e6 : 50e6;
      Runnable[] arrival = new Runnable[1];
      arrival[0] =
          () -> {
            long serviceNanos = (long) (-Math.log(1 - random.nextDouble()) * meanNanos);
            // The control case uses a single account, which makes the order FIFO.
            AccountId queueAccount = fair ? account : A;
            Ticket[] ticket = new Ticket[1];
            UpstreamGate.Listener listener =
                new UpstreamGate.Listener() {
                  @Override
                  public void onAdmitted() {
                    upstream.serve(
                        serviceNanos,
                        () -> {
                          slotNanos.merge(account, serviceNanos, Long::sum);
                          gate.complete(ticket[0], Completion.SUCCESS, upstream.nowNanos());
                        });
                  }

                  @Override
                  public void onRefused(RefusalReason reason, long retryAfterMillis) {
                    // Refused requests use no slot time.
                  }
                };
            ticket[0] =
                gate.submit(
                    new GateRequest(
                        queueAccount, 1, TrafficClass.BULK, upstream.nowNanos() + SECOND),
                    listener,
                    upstream.nowNanos());
            upstream.after(
                (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9), arrival[0]);
          };
      arrival[0].run();
    }
    upstream.runUntil(30 * SECOND);
    return slotNanos;
  }

  @Test
  void accountsGetEqualSlotTimeAtUnequalLoad() {
    Map<AccountId, Long> slotNanos = slotTimeOfUnequalAccounts(true);
    double ratio = (double) slotNanos.get(B) / slotNanos.get(A);
    assertThat(ratio).isWithin(0.1).of(1.0);
  }

  @Test
  void firstComeFirstServedFailsTheFairnessCheck() {
    Map<AccountId, Long> slotNanos = slotTimeOfUnequalAccounts(false);
    double ratio = (double) slotNanos.get(B) / slotNanos.get(A);
    assertThat(Math.abs(ratio - 1)).isGreaterThan(0.1);
  }
}
