package org.cornelspoke.coordination.dissemination;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/** Chooses the next relay: the first in settings order that is not held down, after a backoff. */
final class RelayChoice {

  /** Spreads the daemons of a lost relay over this time. */
  private static final long FIRST_DELAY_NANOS = 100_000_000L;

  /** Keeps recovery after the loss of all relays below 5 s. */
  private static final long MAX_DELAY_NANOS = 2_000_000_000L;

  private static final long FIRST_HOLD_DOWN_NANOS = 1_000_000_000L;
  private static final long MAX_HOLD_DOWN_NANOS = 30_000_000_000L;
  private static final int MAX_DOUBLINGS = 8;

  private final RandomGenerator random;
  private long[] heldDownUntilNanos;
  private boolean[] heldDown;
  private int[] failures;
  private int attempts;
  private boolean waiting;
  private long notBeforeNanos;

  RelayChoice(int relays, RandomGenerator random) {
    this.random = random;
    this.heldDownUntilNanos = new long[relays];
    this.heldDown = new boolean[relays];
    this.failures = new int[relays];
  }

  /** Adds relays behind the known ones. */
  void grow(int relays) {
    if (relays > heldDown.length) {
      heldDownUntilNanos = Arrays.copyOf(heldDownUntilNanos, relays);
      heldDown = Arrays.copyOf(heldDown, relays);
      failures = Arrays.copyOf(failures, relays);
    }
  }

  /** Holds a relay down and starts the backoff. */
  void failed(int relay, long nowNanos) {
    failures[relay]++;
    heldDown[relay] = true;
    heldDownUntilNanos[relay] =
        nowNanos + jittered(doubled(FIRST_HOLD_DOWN_NANOS, failures[relay], MAX_HOLD_DOWN_NANOS));
    attempts++;
    waiting = true;
    notBeforeNanos = nowNanos + jittered(doubled(FIRST_DELAY_NANOS, attempts, MAX_DELAY_NANOS));
  }

  /** Notes that a relay has proved itself fresh. */
  void succeeded(int relay) {
    failures[relay] = 0;
    heldDown[relay] = false;
    attempts = 0;
    waiting = false;
  }

  /** Returns the relay to connect to now, or -1 during the backoff. */
  int next(long nowNanos) {
    if (waiting && nowNanos - notBeforeNanos < 0) {
      return -1;
    }
    int earliest = 0;
    for (int relay = 0; relay < heldDown.length; relay++) {
      if (!heldDown[relay] || nowNanos - heldDownUntilNanos[relay] >= 0) {
        return relay;
      }
      if (heldDownUntilNanos[relay] - heldDownUntilNanos[earliest] < 0) {
        earliest = relay;
      }
    }
    // With every relay held down, waiting would only lengthen an outage of the whole group.
    return earliest;
  }

  private static long doubled(long first, int count, long max) {
    return Math.min(max, first << Math.min(count - 1, MAX_DOUBLINGS));
  }

  private long jittered(long nanos) {
    return nanos / 2 + random.nextLong(nanos / 2 + 1);
  }
}
