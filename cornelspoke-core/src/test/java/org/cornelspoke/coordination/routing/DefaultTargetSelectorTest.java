package org.cornelspoke.coordination.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.math3.random.Well19937c;
import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.coordination.routing.TargetSelector.AttemptResult;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.DataCentreEvacuation;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.registry.TargetState;
import org.cornelspoke.state.view.FleetView;
import org.junit.jupiter.api.Test;

/** Guards against requests to draining, failing or overloaded targets. */
class DefaultTargetSelectorTest {

  private static final ServiceName SERVICE = new ServiceName("hatol");
  private static final RequestKind KIND = new RequestKind(SERVICE, TrafficClass.INTERACTIVE, false);
  private static final long SECOND = 1_000_000_000L;
  private static final String[] DATA_CENTRES = {"a", "b", "c"};

  private static Target target(int index, TargetState state) {
    return new Target(
        new TargetId("t-" + index),
        SERVICE,
        new DaemonId("d-" + index),
        new DataCentreId(DATA_CENTRES[index % 3]),
        new Endpoint("10.0.0." + (index % 250 + 1), 80),
        10,
        state);
  }

  private static List<Target> targets(int count) {
    List<Target> targets = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      targets.add(target(i, TargetState.UP));
    }
    return targets;
  }

  private static DefaultTargetSelector selector(String self) {
    return new DefaultTargetSelector(
        new DaemonId(self), new DataCentreId("a"), 20, new Well19937c(9));
  }

  /**
   * Guards against a combined latency of long requests and short calls, which hides the speed of
   * the targets, so that slow targets get as many requests as fast ones.
   */
  @Test
  void fastTargetIsPreferredAlthoughRequestsDifferInLength() {
    DefaultTargetSelector selector =
        new DefaultTargetSelector(
            new DaemonId("self"), new DataCentreId("without-targets"), 20, new Well19937c(9));
    selector.setTargets(Map.of(SERVICE, targets(3)), 0);
    Well19937c random = new Well19937c(5);
    double[] speeds = {1.0, 1.0, 1.4};
    int[] chosen = new int[3];
    long now = SECOND;
    for (int i = 0; i < 4_000; i++) {
      now += SECOND / 100;
      Target target = selector.select(SERVICE, Set.of(), now).orElseThrow();
      int index = Integer.parseInt(target.id().value().substring(2));
      boolean nested = random.nextDouble() < 0.9;
      double workSeconds = (nested ? 0.03 : 0.48) * Math.exp(0.5 * random.nextGaussian());
      selector.onResult(
          target.id(),
          new RequestKind(SERVICE, TrafficClass.INTERACTIVE, nested),
          AttemptResult.SUCCESS,
          (long) (workSeconds / speeds[index] * SECOND),
          now);
      chosen[index]++;
    }
    // The fast target is one of the two random candidates in two thirds of the choices.
    assertThat(chosen[2] / 4_000.0).isAtLeast(0.63);
  }

  /**
   * Guards against targets that fail a fraction of their requests too small for an ejection and
   * still get as many requests as before; one of them is in the local data centre.
   */
  @Test
  void partiallyFailingTargetsAreAvoidedUntilTheyRecover() {
    DefaultTargetSelector selector = selector(targets(3));
    Well19937c random = new Well19937c(5);
    int[] chosen = new int[3];
    long now = SECOND;
    for (int i = 0; i < 400; i++) {
      now += SECOND / 50;
      Target target = selector.select(SERVICE, Set.of(), now).orElseThrow();
      int index = Integer.parseInt(target.id().value().substring(2));
      boolean fails = index < 2 && random.nextDouble() < 0.4;
      selector.onResult(
          target.id(),
          KIND,
          fails ? AttemptResult.FAILURE : AttemptResult.SUCCESS,
          SECOND / 100,
          now);
      if (i >= 100) {
        chosen[index]++;
      }
    }
    assertThat(chosen[2]).isAtLeast(200);

    now += 10 * SECOND;
    assertThat(selector.select(SERVICE, Set.of(), now).orElseThrow().id().value()).isEqualTo("t-0");
  }

  private static DefaultTargetSelector selector(List<Target> targets) {
    DefaultTargetSelector selector = selector("self");
    selector.setTargets(Map.of(SERVICE, targets), 0);
    return selector;
  }

  private static Map<TargetId, Integer> select(
      DefaultTargetSelector selector, int count, AttemptResult result, long now) {
    Map<TargetId, Integer> chosen = new HashMap<>();
    for (int i = 0; i < count; i++) {
      TargetId id = selector.select(SERVICE, Set.of(), now).orElseThrow().id();
      selector.onResult(id, KIND, result, 1_000_000, now);
      chosen.merge(id, 1, Integer::sum);
    }
    return chosen;
  }

  @Test
  void subsetIsBoundedStableAndDifferentForEachDaemon() {
    DefaultTargetSelector one = selector("one");
    one.setTargets(Map.of(SERVICE, targets(300)), 0);
    List<TargetId> before = one.subset(SERVICE);
    assertThat(before).hasSize(20);
    List<Target> more = targets(300);
    more.add(target(300, TargetState.UP));
    one.setTargets(Map.of(SERVICE, more), SECOND);
    Set<TargetId> kept = new HashSet<>(one.subset(SERVICE));
    kept.retainAll(before);
    assertThat(kept.size()).isAtLeast(19);
    DefaultTargetSelector two = selector("two");
    two.setTargets(Map.of(SERVICE, targets(300)), 0);
    assertThat(two.subset(SERVICE)).isNotEqualTo(before);
  }

  @Test
  void drainingTargetGetsNoNewRequests() {
    List<Target> targets = targets(3);
    targets.set(0, target(0, TargetState.DRAINING));
    DefaultTargetSelector selector = selector(targets);
    assertThat(select(selector, 200, AttemptResult.SUCCESS, SECOND))
        .doesNotContainKey(new TargetId("t-0"));
    targets.set(1, target(1, TargetState.DRAINING));
    targets.set(2, target(2, TargetState.DRAINING));
    selector.setTargets(Map.of(SERVICE, targets), SECOND);
    assertThat(selector.select(SERVICE, Set.of(), SECOND)).isEqualTo(Optional.empty());
  }

  @Test
  void neverEjectsMoreThanHalfOfTheSubset() {
    List<Target> targets = targets(9);
    DefaultTargetSelector selector = selector(targets);
    for (long now = 0; now < 20 * SECOND; now += SECOND / 20) {
      select(selector, 20, AttemptResult.FAILURE, now);
      long at = now;
      long ejected = targets.stream().filter(t -> selector.isEjected(t.id(), at)).count();
      assertThat(ejected).isAtMost(4);
    }
  }

  @Test
  void ejectionDurationGrows() {
    DefaultTargetSelector selector = selector(targets(4));
    TargetId failing = new TargetId("t-1");
    long now = 0;
    List<Long> times = new ArrayList<>();
    for (int round = 0; round < 4; round++) {
      while (!selector.isEjected(failing, now)) {
        selector.onResult(failing, KIND, AttemptResult.FAILURE, 1, now);
      }
      long start = now;
      while (selector.isEjected(failing, now)) {
        now += SECOND / 10;
      }
      times.add(now - start);
    }
    assertThat(times).isInStrictOrder();
  }

  @Test
  void localTargetsArePreferredUntilTheyAreSaturated() {
    DefaultTargetSelector selector = selector(targets(9));
    Set<TargetId> local = Set.of(new TargetId("t-0"), new TargetId("t-3"), new TargetId("t-6"));
    assertThat(select(selector, 300, AttemptResult.SUCCESS, SECOND).keySet()).isEqualTo(local);
    for (TargetId id : local) {
      selector.onLoad(id, new GateLoad(10, 5, 10), SECOND);
    }
    Map<TargetId, Integer> chosen = select(selector, 300, AttemptResult.SUCCESS, SECOND);
    int remote =
        chosen.entrySet().stream()
            .filter(entry -> !local.contains(entry.getKey()))
            .mapToInt(Map.Entry::getValue)
            .sum();
    assertThat(remote).isGreaterThan(150);
  }

  /** Guards against a restored data centre whose upstreams get their full load at once. */
  @Test
  void targetsOfARestoredDataCentreStartSlowly() {
    DefaultTargetSelector selector =
        new DefaultTargetSelector(
            new DaemonId("self"), new DataCentreId("without-targets"), 20, new Well19937c(9));
    FleetView usual = new FleetView(new Revision(1), List.of(), Map.of(SERVICE, targets(2)));
    FleetView evacuated =
        new FleetView(
            new Revision(2),
            List.of(new DataCentreEvacuation(new DataCentreId("b"), 0)),
            usual.targets());
    selector.setTargets(usual.usableTargets(), 0);
    selector.setTargets(evacuated.usableTargets(), 100 * SECOND);
    for (int i = 0; i < 20; i++) {
      assertThat(selectAndEnd(selector, 101 * SECOND)).isEqualTo("t-0");
    }
    selector.setTargets(usual.usableTargets(), 200 * SECOND);

    int early = 0;
    int late = 0;
    for (int i = 0; i < 100; i++) {
      early += selectAndEnd(selector, 200 * SECOND).equals("t-1") ? 1 : 0;
      late += selectAndEnd(selector, 300 * SECOND).equals("t-1") ? 1 : 0;
    }
    assertThat(early).isAtMost(10);
    assertThat(late).isAtLeast(30);
  }

  private static String selectAndEnd(DefaultTargetSelector selector, long nowNanos) {
    Target target = selector.select(SERVICE, Set.of(), nowNanos).orElseThrow();
    selector.onResult(target.id(), KIND, AttemptResult.SUCCESS, SECOND / 10, nowNanos);
    return target.id().value();
  }

  @Test
  void newTargetStartsSlowly() {
    List<Target> targets = targets(1);
    targets.add(target(3, TargetState.UP));
    DefaultTargetSelector selector = selector(targets);
    select(selector, 100, AttemptResult.SUCCESS, 0);
    targets.add(target(6, TargetState.UP));
    selector.setTargets(Map.of(SERVICE, targets), 0);
    int early =
        select(selector, 300, AttemptResult.SUCCESS, 1).getOrDefault(targets.get(2).id(), 0);
    int late =
        select(selector, 300, AttemptResult.SUCCESS, 9 * SECOND)
            .getOrDefault(targets.get(2).id(), 0);
    assertThat(early).isLessThan(30);
    assertThat(late).isGreaterThan(60);
  }
}
