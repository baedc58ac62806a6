package org.cornelspoke.coordination.quota;

import static com.google.common.truth.Truth.assertThat;

import org.apache.commons.math3.random.Well19937c;
import org.cornelspoke.coordination.consensus.RaftSettings;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against overload of the control threads by share messages. With a hundred daemons, ninety
 * accounts and one of them far above its rate, heartbeats were late, the leader was deposed and
 * most requests were refused for their rate.
 */
class SharesAtSizeTest {

  private static final long WARM_UP_NANOS = 3 * SizedShareFleet.SECOND;
  private static final long END_NANOS = 15 * SizedShareFleet.SECOND;

  /** Fraction of the requests of accounts within their rates that may be refused. */
  private static final double MAX_REFUSED_FRACTION = 0.001;

  /** Fraction of a control VM's thread that share messages may use; the rest is for consensus. */
  private static final double MAX_BUSY_FRACTION = 0.5;

  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void accountsWithinTheirRatesAreServed(long seed) {
    SizedShareFleet fleet = run(seed, false, true);

    assertThat(fleet.refusedFraction()).isAtMost(MAX_REFUSED_FRACTION);
    assertThat(fleet.maxBusyFraction()).isAtMost(MAX_BUSY_FRACTION);
    assertThat(fleet.maxHeartbeatGapNanos()).isLessThan(electionNanos());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void accountFarAboveItsRateDisturbsNoOther(long seed) {
    SizedShareFleet fleet = run(seed, true, true);

    assertThat(fleet.refusedFraction()).isAtMost(MAX_REFUSED_FRACTION);
    assertThat(fleet.maxBusyFraction()).isAtMost(MAX_BUSY_FRACTION);
    assertThat(fleet.maxHeartbeatGapNanos()).isLessThan(electionNanos());
  }

  /** Reproduces the fault: each message is sent in its own frame and handled on arrival. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void checkRejectsMessagesThatAreNotBatched(long seed) {
    SizedShareFleet fleet = run(seed, true, false);

    assertThat(fleet.maxBusyFraction()).isGreaterThan(MAX_BUSY_FRACTION);
  }

  private static SizedShareFleet run(long seed, boolean firstAboveItsRate, boolean batched) {
    SizedShareFleet fleet = new SizedShareFleet(new Well19937c(seed), batched);
    fleet.start(firstAboveItsRate);
    fleet.run(WARM_UP_NANOS, END_NANOS);
    return fleet;
  }

  private static long electionNanos() {
    return RaftSettings.DEFAULT.electionTimeoutNanos();
  }
}
