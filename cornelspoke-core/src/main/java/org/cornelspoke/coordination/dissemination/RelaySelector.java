package org.cornelspoke.coordination.dissemination;

import java.util.Arrays;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Selects the relay to connect to. After a failure, the relays are tried in rounds: each member of
 * the control group once, and one of the former members. A member that has failed recently comes
 * after the others of its round; otherwise the order of preference counts. Only the pause between
 * rounds grows, so that a relay that can be reached is tried within one round, however many others
 * have failed.
 */
final class RelaySelector {

  /** Maximum pause between two attempts of a round; spreads the reconnects of a lost relay. */
  private static final long ATTEMPT_PAUSE_NANOS = 100_000_000L;

  /** Keeps the recovery time after the loss of all relays below 5 s. */
  private static final long MAX_ROUND_PAUSE_NANOS = 2_000_000_000L;

  private static final long INITIAL_HOLD_DOWN_NANOS = 1_000_000_000L;
  private static final long MAX_HOLD_DOWN_NANOS = 30_000_000_000L;
  private static final int MAX_DOUBLINGS = 8;
  private static final int NONE = -1;

  private final RelayOrder order;
  private final RandomGenerator random;
  private Relay[] relays;
  private long attempts;
  private int failedRounds;
  private boolean formerTried;
  private boolean pausing;
  private long pauseEndNanos;

  /** What is known of one relay. */
  private static final class Relay {
    final long rank;
    boolean member = true;
    boolean triedInRound;
    boolean heldDown;
    long heldDownUntilNanos;
    int failureCount;
    long lastAttempt;

    Relay(long rank) {
      this.rank = rank;
    }
  }

  RelaySelector(int relayCount, RelayOrder order, RandomGenerator random) {
    this.order = order;
    this.random = random;
    this.relays = new Relay[0];
    setRelayCount(relayCount);
  }

  /** Sets the number of relays; it never decreases, and new relays are added at the end. */
  void setRelayCount(int relayCount) {
    int previousCount = relays.length;
    if (relayCount > previousCount) {
      relays = Arrays.copyOf(relays, relayCount);
      for (int i = previousCount; i < relayCount; i++) {
        relays[i] = newRelay(i);
      }
    }
  }

  /** Sets which relays belong to members of the control group; all others are former members. */
  void setMembers(Set<Integer> members) {
    for (int i = 0; i < relays.length; i++) {
      relays[i].member = members.contains(i);
    }
  }

  /** Returns the former member that was tried least recently, or -1 if there is none. */
  int oldestFormer() {
    int oldest = NONE;
    for (int i = 0; i < relays.length; i++) {
      if (!relays[i].member
          && (oldest == NONE || relays[i].lastAttempt < relays[oldest].lastAttempt)) {
        oldest = i;
      }
    }
    return oldest;
  }

  /** Forgets what is known of a relay, because its number now stands for another one. */
  void reset(int relay) {
    relays[relay] = newRelay(relay);
  }

  /** Holds down a failed relay and starts the pause before the next attempt. */
  void onFailure(int relay, long nowNanos) {
    Relay failed = relays[relay];
    failed.failureCount++;
    failed.heldDown = true;
    failed.heldDownUntilNanos =
        nowNanos
            + withJitter(
                exponentialDelay(
                    INITIAL_HOLD_DOWN_NANOS, failed.failureCount, MAX_HOLD_DOWN_NANOS));
    markTried(relay);
    long pauseNanos = ATTEMPT_PAUSE_NANOS;
    if (nextInRound(nowNanos) == NONE) {
      startRound();
      failedRounds++;
      pauseNanos = exponentialDelay(ATTEMPT_PAUSE_NANOS, failedRounds, MAX_ROUND_PAUSE_NANOS);
    }
    pausing = true;
    pauseEndNanos = nowNanos + withJitter(pauseNanos);
  }

  /** Ends the round, and the hold-down of a relay that has sent a usable freshness proof. */
  void onSuccess(int relay) {
    relays[relay].failureCount = 0;
    relays[relay].heldDown = false;
    failedRounds = 0;
    pausing = false;
    startRound();
  }

  /** Returns the number of the relay to connect to, or -1 during a pause. */
  int next(long nowNanos) {
    if (pausing && nowNanos - pauseEndNanos < 0) {
      return NONE;
    }
    int next = nextInRound(nowNanos);
    if (next == NONE) {
      startRound();
      next = nextInRound(nowNanos);
    }
    return next;
  }

  /** Returns whether a member that is not held down is preferred to the given relay. */
  boolean hasPreferredTo(int relay, long nowNanos) {
    return Arrays.stream(relays)
        .anyMatch(
            other ->
                other.rank < relays[relay].rank && other.member && !isHeldDown(other, nowNanos));
  }

  private Relay newRelay(int relay) {
    return new Relay(order.rank(relay, random));
  }

  private int nextInRound(long nowNanos) {
    int preferred = NONE;
    int heldDown = NONE;
    for (int i = 0; i < relays.length; i++) {
      Relay relay = relays[i];
      if (!relay.member || relay.triedInRound) {
        continue;
      }
      if (!isHeldDown(relay, nowNanos)) {
        if (preferred == NONE || relay.rank < relays[preferred].rank) {
          preferred = i;
        }
      } else if (heldDown == NONE || relay.lastAttempt < relays[heldDown].lastAttempt) {
        heldDown = i;
      }
    }
    if (preferred != NONE) {
      return preferred;
    }
    if (heldDown == NONE && !formerTried) {
      return oldestFormer();
    }
    return heldDown;
  }

  private void markTried(int relay) {
    relays[relay].lastAttempt = ++attempts;
    relays[relay].triedInRound = true;
    formerTried |= !relays[relay].member;
  }

  private void startRound() {
    formerTried = false;
    for (Relay relay : relays) {
      relay.triedInRound = false;
    }
  }

  private static boolean isHeldDown(Relay relay, long nowNanos) {
    return relay.heldDown && nowNanos - relay.heldDownUntilNanos < 0;
  }

  private static long exponentialDelay(long initial, int attempt, long max) {
    return Math.min(max, initial << Math.min(attempt - 1, MAX_DOUBLINGS));
  }

  private long withJitter(long nanos) {
    return nanos / 2 + random.nextLong(nanos / 2 + 1);
  }
}
