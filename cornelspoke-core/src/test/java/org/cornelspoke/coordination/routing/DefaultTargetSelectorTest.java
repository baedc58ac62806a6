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
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.registry.TargetState;
import org.junit.jupiter.api.Test;

/** Guards against choices that send work to leaving, failing or overloaded targets. */
class DefaultTargetSelectorTest {

  private static final ServiceName SERVICE = new ServiceName("hatol");
  private static final RequestKind KIND = new RequestKind(SERVICE, TrafficClass.INTERACTIVE, false);
  private static final long SECOND = 1_000_000_000L;
  private static final String[] CENTRES = {"a", "b", "c"};

  private static Target target(int index, TargetState state) {
    return new Target(
        new TargetId("t-" + index),
        SERVICE,
        new DaemonId("d-" + index),
        new DataCentreId(CENTRES[index % 3]),
        new Endpoint("10.0.0." + (index % 250 + 1), 80),
        10,
        state);
  }

  private static List<Target> targets(int count) {
    List<Target> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      all.add(target(i, TargetState.UP));
    }
    return all;
  }

  private static DefaultTargetSelector selector(String self) {
    return new DefaultTargetSelector(
        new DaemonId(self), new DataCentreId("a"), 20, new Well19937c(9));
  }

  /**
   * Guards against speeds that disappear in the mixture of long requests and short calls, so that
   * slow targets get as much as fast ones.
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
    // The fast one is among the two candidates of two thirds of the choices.
    assertThat(chosen[2] / 4_000.0).isAtLeast(0.63);
  }

  /**
   * Guards against targets that fail part of their requests, too few to be ejected, and keep their
   * share; one of them is in the daemon's own data centre.
   */
  @Test
  void targetsThatFailPartOfTheirRequestsLoseTheirShareAndGetItBack() {
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
  void drainingTargetGetsNothingNew() {
    List<Target> all = targets(3);
    all.set(0, target(0, TargetState.DRAINING));
    DefaultTargetSelector selector = selector(all);
    assertThat(select(selector, 200, AttemptResult.SUCCESS, SECOND))
        .doesNotContainKey(new TargetId("t-0"));
    all.set(1, target(1, TargetState.DRAINING));
    all.set(2, target(2, TargetState.DRAINING));
    selector.setTargets(Map.of(SERVICE, all), SECOND);
    assertThat(selector.select(SERVICE, Set.of(), SECOND)).isEqualTo(Optional.empty());
  }

  @Test
  void neverEjectsMoreThanHalf() {
    List<Target> all = targets(9);
    DefaultTargetSelector selector = selector(all);
    for (long now = 0; now < 20 * SECOND; now += SECOND / 20) {
      select(selector, 20, AttemptResult.FAILURE, now);
      long at = now;
      long ejected = all.stream().filter(t -> selector.isEjected(t.id(), at)).count();
      assertThat(ejected).isAtMost(4);
    }
  }

  @Test
  void ejectionTimeGrows() {
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
  void localTargetsComeFirstAndOthersWhenTheyAreSaturated() {
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

  @Test
  void newTargetStartsSlowly() {
    List<Target> all = targets(1);
    all.add(target(3, TargetState.UP));
    DefaultTargetSelector selector = selector(all);
    select(selector, 100, AttemptResult.SUCCESS, 0);
    all.add(target(6, TargetState.UP));
    selector.setTargets(Map.of(SERVICE, all), 0);
    int early = select(selector, 300, AttemptResult.SUCCESS, 1).getOrDefault(all.get(2).id(), 0);
    int late =
        select(selector, 300, AttemptResult.SUCCESS, 9 * SECOND).getOrDefault(all.get(2).id(), 0);
    assertThat(early).isLessThan(30);
    assertThat(late).isGreaterThan(60);
  }
}
