package org.cornelspoke.coordination.dissemination;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class RelaySelectorTest {

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MAX_ROUND_PAUSE_MILLIS = 2_000;

  /** Connect timeout of an address that does not reply, pause and interval of the attempts. */
  private static final long ATTEMPT_MILLIS = 200 + 100 + 20;

  /**
   * Guards against daemons that stay without a relay because they try the same dead ones again and
   * again and never reach a live one behind them. The bound is the pause between two rounds and one
   * attempt for each known relay.
   */
  @Test
  void liveRelayIsReachedBehindDeadOnes() {
    for (int count : new int[] {2, 5, 8, 55, 256}) {
      for (int seed = 0; seed < 40; seed++) {
        SplittableRandom random = new SplittableRandom(seed);
        RelaySelector selector = new RelaySelector(count, RelayOrder.LISTED, random);
        long tookMillis = millisUntilReached(selector, random.nextInt(count), random);
        assertWithMessage("%s relays, seed %s", count, seed)
            .that(tookMillis)
            .isAtMost(MAX_ROUND_PAUSE_MILLIS + count * ATTEMPT_MILLIS);
      }
    }
  }

  /** Guards against replaced control VMs that delay the reconnect to the present ones. */
  @Test
  void formerMembersDelayAReconnectByOneAttempt() {
    int memberCount = 5;
    for (int count : new int[] {6, 55, 256}) {
      for (int seed = 0; seed < 40; seed++) {
        SplittableRandom random = new SplittableRandom(seed);
        RelaySelector selector = new RelaySelector(count, RelayOrder.LISTED, random);
        Set<Integer> members = new HashSet<>();
        while (members.size() < memberCount) {
          members.add(random.nextInt(count));
        }
        selector.setMembers(members);
        int live = members.stream().skip(random.nextInt(memberCount)).findFirst().orElseThrow();
        assertWithMessage("%s relays, seed %s", count, seed)
            .that(millisUntilReached(selector, live, random))
            .isAtMost(MAX_ROUND_PAUSE_MILLIS + (memberCount + 1) * ATTEMPT_MILLIS);
      }
    }
  }

  /** Guards against a daemon that never finds the group again after all members were replaced. */
  @Test
  void formerMembersAreTriedAsWell() {
    SplittableRandom random = new SplittableRandom(1);
    RelaySelector selector = new RelaySelector(8, RelayOrder.LISTED, random);
    selector.setMembers(Set.of(0, 1));
    Set<Integer> tried = new TreeSet<>();
    long nowNanos = 0;
    for (int i = 0; i < 30; i++) {
      nowNanos += MAX_ROUND_PAUSE_MILLIS * NANOS_PER_MILLI;
      int relay = selector.next(nowNanos);
      tried.add(relay);
      selector.onFailure(relay, nowNanos);
    }
    assertThat(tried).containsExactly(0, 1, 2, 3, 4, 5, 6, 7);
  }

  /** Guards against a numbering that runs out as control VMs are replaced. */
  @Test
  void numberOfAFormerMemberIsReused() {
    RelaySelector selector = new RelaySelector(3, RelayOrder.LISTED, new SplittableRandom(1));
    assertThat(selector.oldestFormer()).isEqualTo(-1);
    selector.onFailure(1, 0);
    selector.setMembers(Set.of(2));
    assertThat(selector.oldestFormer()).isEqualTo(0);
    selector.reset(0);
    assertThat(selector.oldestFormer()).isEqualTo(1);
  }

  /** Returns the time until the only live relay is tried, after a long outage of all relays. */
  private static long millisUntilReached(
      RelaySelector selector, int live, SplittableRandom random) {
    boolean[] silent = new boolean[256];
    for (int i = 0; i < silent.length; i++) {
      silent[i] = random.nextBoolean();
    }
    long nowMillis = 0;
    long liveFromMillis = 60_000 + random.nextLong(5_000);
    while (nowMillis < liveFromMillis + 200_000) {
      int relay = selector.next(nowMillis * NANOS_PER_MILLI);
      if (relay == live && nowMillis >= liveFromMillis) {
        return nowMillis - liveFromMillis;
      }
      if (relay >= 0) {
        nowMillis += silent[relay] ? 200 : 0;
        selector.onFailure(relay, nowMillis * NANOS_PER_MILLI);
      }
      nowMillis += 20;
    }
    return nowMillis - liveFromMillis;
  }
}
