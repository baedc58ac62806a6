package org.cornelspoke.bench.soak;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against schedules that differ for one seed, or that leave a process stopped. */
class SoakScheduleTest {

  private static final List<String> CONTROLS = List.of("control-1", "control-2", "control-3");

  @Test
  void sameSeedSameEvents() {
    assertThat(draw(3)).isEqualTo(draw(3));
    assertThat(draw(3)).isNotEqualTo(draw(4));
  }

  @Test
  void everyDisturbedProcessComesBackAndAQuorumRemains() {
    for (long seed = 0; seed < 20; seed++) {
      Map<String, SoakEvent.Action> disturbed = new HashMap<>();
      for (SoakEvent event : draw(seed)) {
        switch (event.action()) {
          case KILL, TERM, PAUSE ->
              assertThat(disturbed.put(event.argument(), event.action())).isNull();
          case START, RESUME -> assertThat(disturbed.remove(event.argument())).isNotNull();
          default -> assertThat(event.argument()).isNotEmpty();
        }
        assertThat(CONTROLS.stream().filter(disturbed::containsKey).count()).isAtMost(1);
      }
      assertThat(disturbed).isEmpty();
    }
  }

  @Test
  void everyKindOfEventOccursAndAKeyIsWithdrawnOnce() {
    Set<SoakEvent.Action> actions = new HashSet<>();
    for (long seed = 0; seed < 20; seed++) {
      Set<String> withdrawn = new HashSet<>();
      for (SoakEvent event : draw(seed)) {
        actions.add(event.action());
        if (event.action() == SoakEvent.Action.WITHDRAW) {
          assertThat(withdrawn.add(event.argument())).isTrue();
        }
      }
    }
    assertThat(actions).hasSize(SoakEvent.Action.values().length);
  }

  private static List<SoakEvent> draw(long seed) {
    return new SoakSchedule(
            seed,
            Map.of(
                "control",
                CONTROLS,
                "traffic",
                List.of("pasok-1", "pasok-2", "hatol-1"),
                "upstream",
                List.of("upstream-pasok", "upstream-hatol")),
            List.of("a", "b"),
            List.of("a-2", "b-2"))
        .draw(60_000);
  }
}
