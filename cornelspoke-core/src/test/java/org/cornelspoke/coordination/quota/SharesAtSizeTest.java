package org.cornelspoke.coordination.quota;

import static com.google.common.truth.Truth.assertThat;

import org.apache.commons.math3.random.Well19937c;
import org.cornelspoke.coordination.consensus.RaftSettings;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a control plane that its callers overload: with a hundred daemons, ninety accounts
 * and one of them far above its rate, the messages about rates kept the control threads so busy
 * that heartbeats were late, the leader was deposed and most requests were refused for their rate.
 */
class SharesAtSizeTest {

  private static final long WARM_UP_NANOS = 3 * SizedShareFleet.SECOND;
  private static final long END_NANOS = 15 * SizedShareFleet.SECOND;

  /** Part of the requests within their rates that may be refused. */
  private static final double REFUSED_PART = 0.001;

  /** Part of a control VM's thread that share messages may take; the rest is for consensus. */
  private static final double BUSY_PART = 0.5;

  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void accountsWithinTheirRatesAreServed(long seed) {
    SizedShareFleet fleet = run(seed, false, true);

    assertThat(fleet.refusedPart()).isAtMost(REFUSED_PART);
    assertThat(fleet.busiestPart()).isAtMost(BUSY_PART);
    assertThat(fleet.longestSilenceNanos()).isLessThan(electionNanos());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void accountFarAboveItsRateDisturbsNoOther(long seed) {
    SizedShareFleet fleet = run(seed, true, true);

    assertThat(fleet.refusedPart()).isAtMost(REFUSED_PART);
    assertThat(fleet.busiestPart()).isAtMost(BUSY_PART);
    assertThat(fleet.longestSilenceNanos()).isLessThan(electionNanos());
  }

  /** Each message in a frame of its own, handled as it arrives, is what failed. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void checkRejectsMessagesThatAreNotBatched(long seed) {
    SizedShareFleet fleet = run(seed, true, false);

    assertThat(fleet.busiestPart()).isGreaterThan(BUSY_PART);
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
