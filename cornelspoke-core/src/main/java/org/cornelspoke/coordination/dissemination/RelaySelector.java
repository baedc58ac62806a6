package org.cornelspoke.coordination.dissemination;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/** Chooses the next relay: the first in settings order that is not held down, after a backoff. */
final class RelaySelector {

  /** Spreads the daemons of a lost relay over this time. */
  private static final long INITIAL_BACKOFF_NANOS = 100_000_000L;

  /** Keeps recovery after the loss of all relays below 5 s. */
  private static final long MAX_BACKOFF_NANOS = 2_000_000_000L;

  private static final long INITIAL_HOLD_DOWN_NANOS = 1_000_000_000L;
  private static final long MAX_HOLD_DOWN_NANOS = 30_000_000_000L;
  private static final int MAX_DOUBLINGS = 8;

  private final RandomGenerator random;
  private long[] heldDownUntilNanos;
  private boolean[] heldDown;
  private int[] failureCounts;
  private int consecutiveFailures;
  private boolean backingOff;
  private long backoffEndNanos;

  RelaySelector(int relayCount, RandomGenerator random) {
    this.random = random;
    this.heldDownUntilNanos = new long[relayCount];
    this.heldDown = new boolean[relayCount];
    this.failureCounts = new int[relayCount];
  }

  /** Adds relays behind the known ones. */
  void setRelayCount(int relayCount) {
    if (relayCount > heldDown.length) {
      heldDownUntilNanos = Arrays.copyOf(heldDownUntilNanos, relayCount);
      heldDown = Arrays.copyOf(heldDown, relayCount);
      failureCounts = Arrays.copyOf(failureCounts, relayCount);
    }
  }

  /** Holds a relay down and starts the backoff. */
  void onFailure(int relay, long nowNanos) {
    failureCounts[relay]++;
    heldDown[relay] = true;
    heldDownUntilNanos[relay] =
        nowNanos
            + withJitter(
                exponentialDelay(
                    INITIAL_HOLD_DOWN_NANOS, failureCounts[relay], MAX_HOLD_DOWN_NANOS));
    consecutiveFailures++;
    backingOff = true;
    backoffEndNanos =
        nowNanos
            + withJitter(
                exponentialDelay(INITIAL_BACKOFF_NANOS, consecutiveFailures, MAX_BACKOFF_NANOS));
  }

  /** Notes that a relay has proved itself fresh. */
  void onSuccess(int relay) {
    failureCounts[relay] = 0;
    heldDown[relay] = false;
    consecutiveFailures = 0;
    backingOff = false;
  }

  /** Returns the relay to connect to now, or -1 during the backoff. */
  int next(long nowNanos) {
    if (backingOff && nowNanos - backoffEndNanos < 0) {
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

  private static long exponentialDelay(long first, int count, long max) {
    return Math.min(max, first << Math.min(count - 1, MAX_DOUBLINGS));
  }

  private long withJitter(long nanos) {
    return nanos / 2 + random.nextLong(nanos / 2 + 1);
  }
}
