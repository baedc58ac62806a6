package org.cornelspoke.coordination.consensus;

import org.apache.commons.math3.random.RandomGenerator;
import org.cornelspoke.util.Assert;

/**
 * Decides when a member that hears of no leader starts an election. Timeouts are random, so that
 * members rarely compete, and longer after a failure of the disk, so that a disk that fails now and
 * then does not end the leadership of its VM each time.
 */
final class ElectionTimer {

  /**
   * Fraction of the election timeout over which the first pre-vote of a restarted member and the
   * retries are spread.
   */
  private static final double PRE_VOTE_TIMEOUT_FRACTION = 0.4;

  /** Election timeouts for which a member whose disk has failed lets others go first. */
  private static final int UNRELIABLE_DISK_ELECTION_TIMEOUTS = 120;

  private final RaftState state;
  private final RandomGenerator random;
  private long deadlineNanos;
  private long diskUnreliableUntilNanos;

  ElectionTimer(RaftState state, RandomGenerator random) {
    this.state = state;
    this.random = Assert.notNull(random, "random");
    this.diskUnreliableUntilNanos = state.nowNanos;
    reset();
  }

  boolean isDue() {
    return state.nowNanos - deadlineNanos >= 0;
  }

  /** Restarts the timer after contact with a leader or a vote. */
  void reset() {
    long minTimeoutNanos = state.settings.electionTimeoutNanos();
    // More than one timeout, because the others may have heard of the leader a little later.
    long lagNanos =
        state.nowNanos - diskUnreliableUntilNanos < 0 ? minTimeoutNanos + minTimeoutNanos / 2 : 0;
    deadlineNanos = state.nowNanos + minTimeoutNanos + lagNanos + randomTimeoutNanos(1);
  }

  /** Restarts the timer with a short random timeout plus the given time. */
  void restartForPreVote(long minTimeoutNanos) {
    deadlineNanos =
        state.nowNanos + minTimeoutNanos + randomTimeoutNanos(PRE_VOTE_TIMEOUT_FRACTION);
  }

  /** Makes an election due now. */
  void expire() {
    deadlineNanos = state.nowNanos;
  }

  /** Records that the disk works again after it has failed. */
  void onDiskRecovered() {
    diskUnreliableUntilNanos =
        state.nowNanos + UNRELIABLE_DISK_ELECTION_TIMEOUTS * state.settings.electionTimeoutNanos();
    reset();
  }

  /** Returns a random duration of up to the given fraction of the election timeout. */
  private long randomTimeoutNanos(double fraction) {
    return (long) (random.nextDouble() * fraction * state.settings.electionTimeoutNanos());
  }
}
