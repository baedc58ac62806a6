package org.cornelspoke.coordination.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Supplier;
import org.apache.commons.math3.random.Well19937c;
import org.cornelspoke.coordination.admission.Completion;
import org.cornelspoke.coordination.admission.DefaultUpstreamGate;
import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.coordination.admission.GateRequest;
import org.cornelspoke.coordination.admission.LearnedCapacity;
import org.cornelspoke.coordination.admission.LearnedLimit;
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
 * Plays one service of requirements-new-customers.md in virtual time: targets of different speed in
 * three data centres, gates that learn, and 88 callers whose reports are as old as their last
 * reply.
 */
class LearnedSelectionTest {

  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;
  private static final long TICK_NANOS = 20 * MILLI;
  private static final long SLOW_PERIOD_NANOS = 600 * MILLI;
  private static final int DATA_CENTRES = 3;
  private static final int CALLERS = 88;
  private static final int MAX_ATTEMPTS = 3;
  private static final int HALF_SECONDS_BEFORE_MEASUREMENT = 12;

  /** No deployment may lose more than 0.03 by a new part. */
  private static final double MIN_FRACTION_OF_IDEAL = 0.97;

  private static final ServiceName SERVICE = new ServiceName("svc");
  private static final RequestKind KIND = new RequestKind(SERVICE, TrafficClass.INTERACTIVE, false);

  /** Figures of one service on the page. */
  private record Service(
      int targets, int slots, double workMillis, long objectiveMillis, long deadlineMillis) {}

  private static final Service ARCHIVE = new Service(43, 55, 242, 2_009, 5_005);
  private static final Service ERBJUDANDE = new Service(17, 16, 60, 300, 701);

  /** What callers got, and how much of the first data centre's requests went elsewhere. */
  private record Outcome(double fractionInTime, double meanMillis, double remoteFractionOfFirst) {}

  private record Event(long atNanos, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int order = Long.compare(atNanos, other.atNanos);
      return order != 0 ? order : Long.compare(sequence, other.sequence);
    }
  }

  private final class Upstream {
    private final Target target;
    private final double speed;
    private final UpstreamGate gate;
    private final LearnedCapacity capacity;
    private int inFlight;
    private int served;

    Upstream(int index, Service service, double speed) {
      this.target = target(index, service.slots());
      this.speed = speed;
      LearnedLimit limit = new LearnedLimit(service.slots(), 0.25, 100 * MILLI);
      gate = new DefaultUpstreamGate(preset(), limit);
      capacity = new LearnedCapacity(limit, 100 * MILLI);
    }

    private double slowdown() {
      double knee = inFlight >= KNEE_FRACTION * target.slots() ? 1.3 : 1;
      int period = (int) (nowNanos / SLOW_PERIOD_NANOS);
      boolean slow =
          slowFraction > 0
              && new Well19937c(31 * period + target.id().value().hashCode()).nextDouble()
                  < slowFraction;
      return (slow ? 2.5 : 1) * knee / speed;
    }
  }

  private final class Request implements UpstreamGate.Listener {
    private final DefaultTargetSelector selector;
    private final int caller;
    private final long startNanos = nowNanos;
    private final Set<TargetId> tried = new HashSet<>();
    private Upstream upstream;
    private UpstreamGate.Ticket ticket;
    private long attemptNanos;
    private long sentNanos;

    Request(int caller) {
      this.caller = caller;
      this.selector = selectors.get(caller);
    }

    private void attempt() {
      Optional<Target> chosen = selector.select(KIND, tried, nowNanos);
      if (chosen.isEmpty()) {
        return;
      }
      upstream = upstreams.get(chosen.get().id());
      tried.add(chosen.get().id());
      attemptNanos = nowNanos;
      boolean local = caller % DATA_CENTRES == index(upstream.target) % DATA_CENTRES;
      if (caller % DATA_CENTRES == 0) {
        int slot = (int) (nowNanos / (SECOND / 2));
        attemptsOfFirst[slot]++;
        remoteOfFirst[slot] += local ? 0 : 1;
      }
      after(local ? MILLI / 5 : MILLI, this::arrive);
    }

    private void arrive() {
      ticket =
          upstream.gate.submit(
              new GateRequest(
                  new AccountId("a"),
                  1,
                  TrafficClass.INTERACTIVE,
                  startNanos + service.deadlineMillis() * MILLI),
              this,
              nowNanos);
    }

    @Override
    public void onAdmitted() {
      after(0, this::send);
    }

    private void send() {
      sentNanos = nowNanos;
      upstream.inFlight++;
      upstream.capacity.onSent(nowNanos);
      double millis =
          service.workMillis()
              * Math.exp(0.3 * random.nextGaussian() - 0.045)
              * upstream.slowdown();
      after((long) (millis * MILLI), this::end);
    }

    private void end() {
      upstream.inFlight--;
      upstream.served++;
      upstream.gate.complete(ticket, Completion.SUCCESS, nowNanos);
      upstream.capacity.onEnded(KIND.workKind(), sentNanos, 0, Completion.SUCCESS, nowNanos);
      reply(AttemptResult.SUCCESS);
    }

    @Override
    public void onRefused(RefusalReason reason, long retryAfterMillis) {
      reply(AttemptResult.REFUSED);
    }

    private void reply(AttemptResult result) {
      GateLoad load = upstream.gate.load();
      int concurrency = 0;
      long workNanos = 0;
      if (result == AttemptResult.SUCCESS) {
        concurrency = upstream.capacity.concurrency();
        workNanos = upstream.capacity.workNanos(KIND.workKind());
      }
      int reportedConcurrency = workNanos > 0 ? concurrency : 0;
      long reportedWork = upstream.target.id().equals(liar) ? 1 : workNanos;
      after(MILLI / 2, () -> onReply(result, load, reportedConcurrency, reportedWork));
    }

    private void onReply(AttemptResult result, GateLoad load, int concurrency, long workNanos) {
      TargetId id = upstream.target.id();
      selector.onResult(id, KIND, result, nowNanos - attemptNanos, nowNanos);
      selector.onLoad(id, load, nowNanos);
      if (result == AttemptResult.SUCCESS) {
        if (estimatesReported) {
          selector.onEstimate(id, KIND, concurrency, workNanos, nowNanos);
        }
        if (startNanos >= measureFromNanos) {
          latencySumNanos += nowNanos - startNanos;
          answered++;
          inTime += nowNanos - startNanos <= service.objectiveMillis() * MILLI ? 1 : 0;
        }
      } else if (tried.size() < MAX_ATTEMPTS) {
        attempt();
      }
    }
  }

  private Well19937c random;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<TargetId, Upstream> upstreams = new HashMap<>();
  private final List<DefaultTargetSelector> selectors = new ArrayList<>();
  private Service service;
  private long nowNanos = SECOND;
  private long sequence;
  private long measureFromNanos;
  private static final double KNEE_FRACTION = 0.95;
  private double slowFraction;
  private double swing = 0.55;
  private boolean estimatesReported = true;
  private TargetId liar;
  private int submitted;
  private int inTime;
  private int answered;
  private final int[] attemptsOfFirst = new int[100];
  private final int[] remoteOfFirst = new int[100];
  private boolean equalSpeeds;
  private double demandOfFirst;
  private long demandFallsAtNanos = Long.MAX_VALUE;
  private double latencySumNanos;

  /**
   * Guards against requests that wait at full targets while others have free slots: targets of
   * unequal speed near their capacity, demand that varies by 55%, callers with old reports. The
   * load is 0.9 of the capacity, so that by arithmetic all requests can be in time.
   */
  @Test
  void requestsToUnequalTargetsAreInTime() {
    double learned = play(ERBJUDANDE, 0.9, this::expectedCompletion).fractionInTime();
    double byLoad = play(ERBJUDANDE, 0.9, TargetCost::byLoad).fractionInTime();
    assertThat(learned).isAtLeast(MIN_FRACTION_OF_IDEAL);
    assertThat(byLoad).isLessThan(MIN_FRACTION_OF_IDEAL);
  }

  /**
   * Guards against requests that wait at targets in a slow period of 600 ms, or avoid them late.
   */
  @Test
  void requestsAreInTimeAndFasterDuringSlowPeriods() {
    slowFraction = 0.15;
    Outcome learned = play(ARCHIVE, 0.9, this::expectedCompletion);
    Outcome byLoad = play(ARCHIVE, 0.9, TargetCost::byLoad);
    assertThat(learned.fractionInTime()).isAtLeast(MIN_FRACTION_OF_IDEAL);
    assertThat(learned.meanMillis()).isLessThan(0.8 * byLoad.meanMillis());
  }

  /**
   * Guards against a data centre whose callers wait for their local targets while others are idle,
   * and against more spilling than the excess of the demand: a third of it can't be served locally.
   */
  @Test
  void excessDemandOfOneDataCentreIsServedElsewhere() {
    equalSpeeds = true;
    swing = 0;
    demandOfFirst = 1.5;
    Outcome outcome = play(ERBJUDANDE, 0.5, this::expectedCompletion);
    assertThat(outcome.fractionInTime()).isAtLeast(MIN_FRACTION_OF_IDEAL);
    assertThat(outcome.remoteFractionOfFirst()).isWithin(0.15).of(1 - 0.95 / 1.5);
    // Without oscillation, the spill of each half second is near its mean.
    List<Double> spills = new ArrayList<>();
    for (int slot = HALF_SECONDS_BEFORE_MEASUREMENT; slot < remoteOfFirst.length - 10; slot++) {
      if (attemptsOfFirst[slot] > 50) {
        spills.add((double) remoteOfFirst[slot] / attemptsOfFirst[slot]);
      }
    }
    assertThat(Collections.max(spills)).isLessThan(2 * outcome.remoteFractionOfFirst());
    assertThat(Collections.min(spills)).isGreaterThan(outcome.remoteFractionOfFirst() / 2);
  }

  /** Guards against requests that stay remote for over two seconds once local targets are free. */
  @Test
  void requestsReturnWithinTwoSecondsWhenTheDemandFalls() {
    equalSpeeds = true;
    swing = 0;
    demandOfFirst = 1.5;
    demandFallsAtNanos = 10 * SECOND;
    play(ERBJUDANDE, 0.5, this::expectedCompletion);
    int attempts = 0;
    int remote = 0;
    for (int slot = 25; slot < 35; slot++) {
      attempts += attemptsOfFirst[slot];
      remote += remoteOfFirst[slot];
    }
    assertThat(attempts).isGreaterThan(100);
    assertThat((double) remote / attempts).isAtMost(0.03);
  }

  /** Guards against a target that attracts the requests of others by false numbers. */
  @Test
  void falseNumbersOfOneTargetDoNotAttractItsServicesRequests() {
    liar = target(3, 1).id();
    Outcome outcome = play(ERBJUDANDE, 0.8, this::expectedCompletion);
    assertThat(outcome.fractionInTime()).isAtLeast(MIN_FRACTION_OF_IDEAL);
    int total = upstreams.values().stream().mapToInt(upstream -> upstream.served).sum();
    assertThat(upstreams.get(liar).served).isAtMost(2 * total / ERBJUDANDE.targets());
  }

  /** Guards against another choice than without estimates if targets send none. */
  @Test
  void choicesWithoutEstimatesAreThoseByLoad() {
    estimatesReported = false;
    Outcome learned = play(ERBJUDANDE, 0.9, this::expectedCompletion);
    Outcome byLoad = play(ERBJUDANDE, 0.9, TargetCost::byLoad);
    assertThat(learned).isEqualTo(byLoad);
  }

  /** Guards against estimates that are used for ever although the target sends none any more. */
  @Test
  void oldEstimatesAreNotUsed() {
    List<Target> targets = List.of(target(0, 10), target(3, 10), target(6, 10));
    DefaultTargetSelector selector =
        new DefaultTargetSelector(
            new DaemonId("me"), dataCentre(0), 20, new Well19937c(1), expectedCompletion());
    selector.setTargets(Map.of(SERVICE, targets), 0);
    for (Target target : targets) {
      selector.onEstimate(target.id(), KIND, 10, (1L + index(target)) * 50 * MILLI, SECOND);
    }
    assertThat(countOfFirst(selector, 2 * SECOND)).isGreaterThan(250);
    assertThat(countOfFirst(selector, 60 * SECOND)).isLessThan(150);
  }

  /** Guards against callers whose subsets lack the capacity of the fleet: too few fast targets. */
  @Test
  void subsetsGetTheirPartOfFastTargets() {
    play(ARCHIVE, 0.01, this::expectedCompletion);
    double fleetSpeed = upstreams.values().stream().mapToDouble(u -> u.speed).average().orElse(0);
    double sum = 0;
    for (DefaultTargetSelector selector : selectors) {
      double speed =
          selector.subset(SERVICE).stream()
              .mapToDouble(id -> upstreams.get(id).speed)
              .average()
              .orElse(0);
      assertThat(speed / fleetSpeed).isWithin(0.2).of(1);
      sum += speed;
    }
    assertThat(sum / selectors.size() / fleetSpeed).isWithin(0.03).of(1);
  }

  private int countOfFirst(DefaultTargetSelector selector, long atNanos) {
    int count = 0;
    for (int i = 0; i < 300; i++) {
      Target chosen = selector.select(KIND, Set.of(), atNanos).orElseThrow();
      selector.onResult(chosen.id(), KIND, AttemptResult.CANCELLED, 0, atNanos);
      count += index(chosen) == 0 ? 1 : 0;
    }
    return count;
  }

  private TargetCost expectedCompletion() {
    return new ExpectedCompletionCost();
  }

  private Outcome play(Service newService, double load, Supplier<TargetCost> costs) {
    random = new Well19937c(11);
    upstreams.clear();
    selectors.clear();
    nowNanos = SECOND;
    submitted = 0;
    inTime = 0;
    answered = 0;
    latencySumNanos = 0;
    Arrays.fill(attemptsOfFirst, 0);
    Arrays.fill(remoteOfFirst, 0);
    run(newService, load, costs);
    int attempts = 0;
    int remote = 0;
    for (int slot = HALF_SECONDS_BEFORE_MEASUREMENT; slot < attemptsOfFirst.length; slot++) {
      attempts += attemptsOfFirst[slot];
      remote += remoteOfFirst[slot];
    }
    return new Outcome(
        (double) inTime / submitted,
        latencySumNanos / answered / MILLI,
        (double) remote / attempts);
  }

  private void run(Service newService, double load, Supplier<TargetCost> costs) {
    service = newService;
    double capacityPerSecond = 0;
    List<Target> targets = new ArrayList<>();
    for (int i = 0; i < service.targets(); i++) {
      double speed =
          equalSpeeds ? 1 : 0.6 + (i * 7 % service.targets()) / (service.targets() - 1.0);
      Upstream upstream = new Upstream(i, service, speed);
      upstreams.put(upstream.target.id(), upstream);
      targets.add(upstream.target);
      capacityPerSecond +=
          0.95
              * service.slots()
              * speed
              / (service.workMillis() / 1_000)
              / (1 + 1.5 * slowFraction);
    }
    for (int i = 0; i < CALLERS; i++) {
      DefaultTargetSelector selector =
          new DefaultTargetSelector(
              new DaemonId("c-" + i), dataCentre(i), 20, new Well19937c(i), costs.get());
      selector.setTargets(Map.of(SERVICE, targets), nowNanos);
      selectors.add(selector);
    }
    long endNanos = nowNanos + 18 * SECOND;
    measureFromNanos = nowNanos + 5 * SECOND;
    for (int i = 0; i < CALLERS; i++) {
      boolean first = i % DATA_CENTRES == 0 && demandOfFirst > 0;
      scheduleArrival(i, (first ? demandOfFirst : load) * capacityPerSecond / CALLERS, endNanos);
    }
    scheduleTick(endNanos);
    while (!events.isEmpty()) {
      Event event = events.poll();
      nowNanos = event.atNanos();
      event.action().run();
    }
  }

  private void scheduleArrival(int caller, double perSecond, long endNanos) {
    double phase = 2 * Math.PI * (nowNanos / (13.0 * SECOND) + caller % DATA_CENTRES / 3.0);
    boolean fallen = caller % DATA_CENTRES == 0 && nowNanos >= demandFallsAtNanos;
    double rate = (fallen ? 0.3 : 1) * perSecond * (1 + swing * Math.sin(phase));
    after(
        (long) (-Math.log(1 - random.nextDouble()) / rate * SECOND),
        () -> {
          if (nowNanos < endNanos) {
            submitted += nowNanos >= measureFromNanos ? 1 : 0;
            new Request(caller).attempt();
            scheduleArrival(caller, perSecond, endNanos);
          }
        });
  }

  private void scheduleTick(long endNanos) {
    after(
        TICK_NANOS,
        () -> {
          for (Upstream upstream : upstreams.values()) {
            upstream.gate.onTick(nowNanos);
            upstream.capacity.onTick(nowNanos);
          }
          if (nowNanos < endNanos + 10 * SECOND) {
            scheduleTick(endNanos);
          }
        });
  }

  private void after(long delayNanos, Runnable action) {
    events.add(new Event(nowNanos + delayNanos, sequence++, action));
  }

  private static int index(Target target) {
    return Integer.parseInt(target.id().value().substring(2));
  }

  private static DataCentreId dataCentre(int index) {
    return new DataCentreId("dc-" + index % DATA_CENTRES);
  }

  private static Target target(int index, int slots) {
    return new Target(
        new TargetId("t-" + index),
        SERVICE,
        new DaemonId("d-" + index),
        dataCentre(index),
        new Endpoint("127.0.0.1", 1),
        slots,
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
