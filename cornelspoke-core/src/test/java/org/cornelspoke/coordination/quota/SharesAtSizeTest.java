package org.cornelspoke.coordination.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.function.IntUnaryOperator;
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

  /** Rate of each account in the tests with a loss, in requests per second. */
  private static final double LARGE_RATE = 35;

  private static final int LOST_VM = 2;
  private static final int[] REMAINING_VMS = {0, 1, 3, 4};

  /** Time until daemons leave a relay that does not reply. */
  private static final long DETECTION_NANOS = SizedShareFleet.SECOND / 2;

  /** End of the lease of the lost relay, 3.6 s, and one second for callers that were refused. */
  private static final long LEASE_ENDED_NANOS = WARM_UP_NANOS + 5 * SizedShareFleet.SECOND;

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

  /**
   * Guards against refusals that go on after the loss of a relay, although the rates that it held
   * are available again.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void ratesOfALostRelayAreServedAgainAfterItsLease(long seed) {
    SizedShareFleet fleet =
        runWithLoss(
            seed,
            daemon -> daemon % SizedShareFleet.VMS,
            daemon -> REMAINING_VMS[daemon / SizedShareFleet.VMS % REMAINING_VMS.length]);

    assertThat(fleet.refusedFraction()).isAtMost(MAX_REFUSED_FRACTION);
    assertThat(fleet.maxBusyFraction()).isAtMost(MAX_BUSY_FRACTION);
  }

  /** Reproduces the fault: most daemons are attached to the relay that is lost. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void checkRejectsAFleetThatIsAttachedToOneRelay(long seed) {
    SizedShareFleet fleet =
        runWithLoss(
            seed,
            daemon -> daemon % 10 < 8 ? LOST_VM : daemon % 2,
            daemon -> daemon % 3 < 2 ? 0 : 1);

    assertThat(fleet.refusedFraction()).isGreaterThan(MAX_REFUSED_FRACTION);
  }

  private static SizedShareFleet runWithLoss(
      long seed, IntUnaryOperator placement, IntUnaryOperator newPlacement) {
    SizedShareFleet fleet = new SizedShareFleet(new Well19937c(seed), true, LARGE_RATE, placement);
    fleet.returnRefusedClients();
    fleet.start(false);
    fleet.run(0, WARM_UP_NANOS);
    fleet.freeze(LOST_VM, DETECTION_NANOS, newPlacement);
    fleet.run(LEASE_ENDED_NANOS, END_NANOS);
    return fleet;
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
