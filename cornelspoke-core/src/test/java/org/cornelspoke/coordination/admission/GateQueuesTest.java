package org.cornelspoke.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.BuiltInPresets;
import org.cornelspoke.state.config.ClassPolicy;
import org.cornelspoke.state.config.Preset;
import org.junit.jupiter.api.Test;

/** Tests the order in which a gate serves calls of admitted chains and new requests. */
final class GateQueuesTest {

  private static final long DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(60);
  private static final long SERVICE_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
  private static final int SLOTS = 10;

  private final UpstreamGate gate =
      new DefaultUpstreamGate(BuiltInPresets.ordinary(), new FixedLimit(SLOTS));
  private final List<Request> admitted = new ArrayList<>();

  private final class Request implements UpstreamGate.Listener {
    final boolean begun;
    final UpstreamGate.Ticket ticket;
    RefusalReason refusal;

    Request(TrafficClass trafficClass, String account, boolean begun) {
      this.begun = begun;
      this.ticket =
          gate.submit(
              new GateRequest(new AccountId(account), 1, trafficClass, DEADLINE_NANOS, begun),
              this,
              0);
    }

    @Override
    public void onAdmitted() {
      admitted.add(this);
    }

    @Override
    public void onRefused(RefusalReason reason, long retryAfterMillis) {
      refusal = reason;
    }
  }

  /** Guards against calls of the least urgent chains before the most urgent new requests. */
  @Test
  void urgentRequestComesBeforeCallOfALessUrgentChain() {
    List<Request> running = fill(TrafficClass.BULK);
    begin(TrafficClass.BULK, "a");
    Request urgent = submit(TrafficClass.CRITICAL, "b");
    complete(running.get(0));
    assertThat(admitted.get(SLOTS)).isSameInstanceAs(urgent);
  }

  /** Guards against new requests that delay chains of their class that were admitted before. */
  @Test
  void callOfAnAdmittedChainComesBeforeNewRequestsOfItsClass() {
    List<Request> running = fill(TrafficClass.CRITICAL);
    submit(TrafficClass.CRITICAL, "a");
    Request call = begin(TrafficClass.CRITICAL, "a");
    complete(running.get(0));
    assertThat(admitted.get(SLOTS)).isSameInstanceAs(call);
  }

  /** Guards against admitted chains of a low class that starve under more urgent requests. */
  @Test
  void callsOfALowClassKeepAPartOfTheSlots() {
    List<Request> running = fill(TrafficClass.CRITICAL);
    for (int i = 0; i < 40; i++) {
      submit(TrafficClass.CRITICAL, "a");
      begin(TrafficClass.BULK, "b");
    }
    running.forEach(this::complete);
    long calls = admitted.stream().skip(SLOTS).filter(request -> request.begun).count();
    assertThat(calls).isEqualTo((long) (GateQueues.BEGUN_FRACTION * SLOTS));
  }

  /** Guards against one account whose calls delay those of the others of its class. */
  @Test
  void callsAreServedFairlyByTheAccountOfTheirRoot() {
    List<Request> running = fill(TrafficClass.INTERACTIVE);
    for (int i = 0; i < 30; i++) {
      begin(TrafficClass.INTERACTIVE, "heavy");
    }
    Request light = begin(TrafficClass.INTERACTIVE, "light");
    complete(running.get(0));
    complete(running.get(1));
    assertThat(admitted).contains(light);
  }

  /** Guards against a preset that breaks off chains which were admitted before it. */
  @Test
  void presetThatRefusesAClassStillServesItsAdmittedChains() {
    gate.applyPreset(presetThatRefusesBulk());
    assertThat(submit(TrafficClass.BULK, "a").refusal).isEqualTo(RefusalReason.PRESET);
    assertThat(begin(TrafficClass.BULK, "a").refusal).isNull();
    assertThat(admitted).hasSize(1);
  }

  /** Guards against calls of admitted chains that are evicted while new requests wait. */
  @Test
  void fullQueueEvictsNewRequestsFirst() {
    fill(TrafficClass.CRITICAL);
    List<Request> calls = new ArrayList<>();
    List<Request> requests = new ArrayList<>();
    for (int i = 0; i < 64; i++) {
      calls.add(begin(TrafficClass.BULK, "a"));
      requests.add(submit(TrafficClass.BULK, "b"));
    }
    Request call = begin(TrafficClass.BULK, "c");
    assertThat(call.refusal).isNull();
    assertThat(calls.stream().filter(other -> other.refusal != null).count()).isEqualTo(0);
    assertThat(requests.stream().filter(other -> other.refusal != null).count()).isEqualTo(1);
    assertThat(submit(TrafficClass.BULK, "b").refusal).isEqualTo(RefusalReason.OVERLOAD);
  }

  private List<Request> fill(TrafficClass trafficClass) {
    List<Request> running = new ArrayList<>();
    for (int i = 0; i < SLOTS; i++) {
      running.add(begin(trafficClass, "first"));
    }
    assertThat(admitted).hasSize(SLOTS);
    return running;
  }

  private Request begin(TrafficClass trafficClass, String account) {
    return new Request(trafficClass, account, true);
  }

  private Request submit(TrafficClass trafficClass, String account) {
    return new Request(trafficClass, account, false);
  }

  private void complete(Request request) {
    gate.complete(request.ticket, Completion.SUCCESS, SERVICE_NANOS);
  }

  private static Preset presetThatRefusesBulk() {
    Preset ordinary = BuiltInPresets.ordinary();
    Map<TrafficClass, ClassPolicy> classes = new EnumMap<>(ordinary.classes());
    classes.put(TrafficClass.BULK, new ClassPolicy(0.1, 128, 500, true));
    return new Preset(ordinary.name(), 1, 0.05, 500, classes);
  }
}
