package org.cornelspoke.bench.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelspoke.model.TrafficClass;
import org.junit.jupiter.api.Test;

/** Guards against load that deviates from its plan or differs between runs with one seed. */
class ArrivalScheduleTest {

  private static final LoadPlan.CalledRoute ENTRIES =
      new LoadPlan.CalledRoute(
          "entries", "POST", "/e", TrafficClass.CRITICAL, 3, true, false, 1000, 0);
  private static final LoadPlan.CalledRoute FILES =
      new LoadPlan.CalledRoute("files", "GET", "/f", TrafficClass.BULK, 1, false, true, 1000, 0);

  @Test
  void sameSeedGivesTheSameArrivals() {
    assertThat(drain(plan(5, caller("a", 50)))).isEqualTo(drain(plan(5, caller("a", 50))));
    assertThat(drain(plan(5, caller("a", 50)))).isNotEqualTo(drain(plan(6, caller("a", 50))));
  }

  @Test
  void ratesAndWeightsFollowThePlan() {
    List<Arrival> arrivals = drain(plan(1, caller("a", 100), caller("b", 300)));

    long countOfA = arrivals.stream().filter(arrival -> arrival.account().id().equals("a")).count();
    long entries = arrivals.stream().filter(arrival -> arrival.route().equals(ENTRIES)).count();
    // 100 s; the bounds are about five standard deviations wide.
    assertThat((double) countOfA).isWithin(500).of(10_000);
    assertThat((double) arrivals.size()).isWithin(1_000).of(40_000);
    assertThat((double) entries / arrivals.size()).isWithin(0.02).of(0.75);
    assertThat(arrivals).isInOrder((x, y) -> Long.compare(atNanosOf(x), atNanosOf(y)));
  }

  @Test
  void phaseOfOneAccountLeavesOthersUnchanged() {
    LoadPlan base = plan(1, caller("a", 100), caller("b", 100));
    LoadPlan surge =
        new LoadPlan(
            base.runId(),
            base.seed(),
            base.durationMillis(),
            0,
            base.edges(),
            base.accounts(),
            base.routes(),
            null,
            List.of(new LoadPlan.Phase(50_000, 100_000, 4, "b")));

    List<Arrival> arrivals = drain(surge);

    assertThat((double) count(arrivals, "a")).isWithin(500).of(10_000);
    assertThat((double) count(arrivals, "b")).isWithin(800).of(25_000);
  }

  private static long count(List<Arrival> arrivals, String account) {
    return arrivals.stream().filter(arrival -> arrival.account().id().equals(account)).count();
  }

  private static long atNanosOf(Object arrival) {
    return ((Arrival) arrival).atNanos();
  }

  private static LoadPlan.Caller caller(String id, double perSecond) {
    return new LoadPlan.Caller(id, List.of(), perSecond, 1000, 1000, Map.of());
  }

  private static LoadPlan plan(long seed, LoadPlan.Caller... callers) {
    return new LoadPlan(
        "t",
        seed,
        100_000,
        0,
        List.of("127.0.0.1:1"),
        List.of(callers),
        List.of(ENTRIES, FILES),
        null,
        null);
  }

  private static List<Arrival> drain(LoadPlan plan) {
    ArrivalSchedule schedule = new ArrivalSchedule(plan);
    List<Arrival> arrivals = new ArrayList<>();
    for (Optional<Arrival> next = schedule.next(); next.isPresent(); next = schedule.next()) {
      arrivals.add(next.get());
    }
    return arrivals;
  }
}
