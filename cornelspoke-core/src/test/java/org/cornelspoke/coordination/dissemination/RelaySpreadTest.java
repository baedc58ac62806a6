package org.cornelspoke.coordination.dissemination;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Revision;
import org.junit.jupiter.api.Test;

/**
 * Guards against a control VM that serves most daemons of a fleet because it was up first. Its loss
 * then withheld most rates, and all its daemons moved to one other VM.
 */
class RelaySpreadTest {

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long STEP_NANOS = 20 * NANOS_PER_MILLI;
  private static final int RELAYS = 5;
  private static final int DAEMONS = 84;

  /** Twice an equal part. */
  private static final int MAX_DAEMONS_PER_RELAY = 2 * DAEMONS / RELAYS;

  private static final long FRESHNESS_BOUND_NANOS = 3_000 * NANOS_PER_MILLI;
  private static final long OTHERS_UP_NANOS = 1_000 * NANOS_PER_MILLI;

  /** Traffic begins this long after the processes start. */
  private static final long END_NANOS = 12_000 * NANOS_PER_MILLI;

  @Test
  void daemonsDoNotStayAtTheRelayThatWasUpFirst() {
    for (int seed = 0; seed < 10; seed++) {
      assertWithMessage("seed %s, daemons at each relay", seed)
          .that(Arrays.stream(attachedDaemons(seed)).max().orElseThrow())
          .isAtMost(MAX_DAEMONS_PER_RELAY);
    }
  }

  private static int[] attachedDaemons(int seed) {
    List<Daemon> daemons = new ArrayList<>();
    for (int i = 0; i < DAEMONS; i++) {
      daemons.add(new Daemon(i, new SplittableRandom(seed * 1_000L + i)));
    }
    for (long nowNanos = 0; nowNanos < END_NANOS; nowNanos += STEP_NANOS) {
      for (Daemon daemon : daemons) {
        daemon.step(nowNanos);
      }
    }
    int[] attached = new int[RELAYS];
    daemons.stream()
        .filter(daemon -> daemon.relay >= 0)
        .forEach(daemon -> attached[daemon.relay]++);
    return attached;
  }

  private static final class Daemon {
    private final ViewTracker tracker;
    private int relay = -1;

    Daemon(int index, SplittableRandom random) {
      tracker =
          new ViewTracker(
              new DaemonId("d" + index),
              new DataCentreId("dc"),
              RELAYS,
              Set.of(),
              FRESHNESS_BOUND_NANOS,
              RelayOrder.SPREAD,
              random);
    }

    void step(long nowNanos) {
      if (relay >= 0 && tracker.shouldReturnToPreferred(nowNanos)) {
        tracker.onLeftForPreferred();
        relay = -1;
      }
      if (relay < 0) {
        OptionalInt next = tracker.nextRelay(nowNanos);
        if (next.isEmpty()) {
          return;
        }
        if (next.getAsInt() != 0 && nowNanos < OTHERS_UP_NANOS) {
          tracker.onDisconnected(nowNanos);
          return;
        }
        relay = next.getAsInt();
        tracker.onConnected(nowNanos);
      }
      ControlMessage.FreshnessQuery query = tracker.nextQuery(nowNanos);
      tracker.receive(
          new ControlMessage.FreshnessReply(query.sequence(), Revision.NONE, Optional.of(0L)),
          nowNanos);
    }
  }
}
