package org.cornelspoke.coordination.dissemination;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/**
 * Selects the relay to connect to: after a backoff, the first one in settings order that is not
 * held down. A relay is held down for some time after each failure.
 */
final class RelaySelector {

  /** Spreads the reconnects of a lost relay's daemons over time. */
  private static final long INITIAL_BACKOFF_NANOS = 100_000_000L;

  /** Keeps the recovery time after the loss of all relays below 5 s. */
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

  /** Sets the number of relays; it never decreases, and new relays are added at the end. */
  void setRelayCount(int relayCount) {
    if (relayCount > heldDown.length) {
      heldDownUntilNanos = Arrays.copyOf(heldDownUntilNanos, relayCount);
      heldDown = Arrays.copyOf(heldDown, relayCount);
      failureCounts = Arrays.copyOf(failureCounts, relayCount);
    }
  }

  /** Holds down a failed relay and starts the backoff. */
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

  /** Resets the backoff and hold-down of a relay that has sent a usable freshness proof. */
  void onSuccess(int relay) {
    failureCounts[relay] = 0;
    heldDown[relay] = false;
    consecutiveFailures = 0;
    backingOff = false;
  }

  /** Returns the index of the relay to connect to, or -1 during the backoff. */
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
    // If all relays are held down, waiting longer would only prolong an outage of the whole group.
    return earliest;
  }

  private static long exponentialDelay(long initial, int attempt, long max) {
    return Math.min(max, initial << Math.min(attempt - 1, MAX_DOUBLINGS));
  }

  private long withJitter(long nanos) {
    return nanos / 2 + random.nextLong(nanos / 2 + 1);
  }
}
