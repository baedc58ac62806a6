package org.cornelspoke.coordination.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.cornelspoke.coordination.quota.ShareCluster.Daemon;
import org.cornelspoke.coordination.quota.ShareCluster.Recovery;
import org.cornelspoke.state.config.Account;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Guards against a fleet that refuses requests below the rate long after an outage, because some
 * daemons never report to the new leader. The times are those of the platform and of a loss of
 * power after which daemons held a fresh configuration 2.8 s later.
 */
final class RecoverySharesTest {

  private static final long MILLI = ShareCluster.MILLI;
  private static final double RATE = 600;
  private static final double BURST = 600;
  private static final Account ACCOUNT = new Account(ShareCluster.ACCOUNT, RATE, BURST, 1);
  private static final ShareTimes TIMES =
      new ShareTimes(3_500 * MILLI, 300 * MILLI, 1_500 * MILLI, TimeUnit.SECONDS.toNanos(4))
          .withDaemonLeaseNanos(2_000 * MILLI);

  private static final long LOST_NANOS = 10_000 * MILLI;
  private static final long START_DELAY_NANOS = 700 * MILLI;
  private static final long ELECTION_DELAY_NANOS = 2_000 * MILLI;
  private static final long LATE_START_DELAY_NANOS = 2_300 * MILLI;
  private static final long LATE_ELECTION_DELAY_NANOS = 2_500 * MILLI;
  private static final long FRESH_DELAY_NANOS = 2_800 * MILLI;
  private static final long RECOVERED_NANOS = LOST_NANOS + FRESH_DELAY_NANOS + 500 * MILLI;

  private final RandomGenerator random = new Well19937c(5);

  @Test
  void requestsAreServedHalfASecondAfterALossOfPowerWithoutTheDaemonsThatNeverReturn() {
    assertThat(refusedAfterLossOfPower(Recovery.REPORTS)).isEqualTo(0);
  }

  @Test
  void checkRejectsLeadersThatWaitForMissingDaemons() {
    assertThat(refusedAfterLossOfPower(Recovery.TIME_ONLY)).isGreaterThan(0);
  }

  @Test
  void noRequestIsRefusedAfterTheLossOfTheLeaderWithoutADaemonThatNeverReports() {
    ShareCluster cluster = newCluster(Recovery.REPORTS);
    List<Daemon> reporting = cluster.daemons.subList(1, cluster.daemons.size());
    arrive(cluster, reporting);
    cluster.network.runUntil(LOST_NANOS);
    cluster.daemons.get(0).disconnect();
    int refusedBefore = cluster.refused;

    cluster.changeLeaderWithout(Set.of());
    cluster.network.runUntil(LOST_NANOS + 8_000 * MILLI);

    assertThat(cluster.refused - refusedBefore).isEqualTo(0);
    assertThat(cluster.leader().issuingAtNanos()).isAtMost(LOST_NANOS + 250 * MILLI);
  }

  /**
   * Guards against relays that restart so late that the leases of their former shares outlast the
   * target: on a day with 26 machines they started up to 2.3 s after the loss of power. Known to
   * fail, see KNOWN-RED.txt.
   */
  @Test
  @Tag("known-red")
  void requestsAreServedHalfASecondAfterALossOfPowerIfRelaysStartLate() {
    assertThat(
            refusedAfterLossOfPower(
                Recovery.REPORTS, LATE_START_DELAY_NANOS, LATE_ELECTION_DELAY_NANOS))
        .isEqualTo(0);
  }

  private int refusedAfterLossOfPower(Recovery recovery) {
    return refusedAfterLossOfPower(recovery, START_DELAY_NANOS, ELECTION_DELAY_NANOS);
  }

  private int refusedAfterLossOfPower(
      Recovery recovery, long startDelayNanos, long electionDelayNanos) {
    ShareCluster cluster = newCluster(recovery);
    Daemon outOfReach = cluster.daemons.get(0);
    Daemon lost = cluster.daemons.get(5);
    arrive(cluster, cluster.daemons.stream().filter(d -> d != outOfReach && d != lost).toList());
    cluster.network.runUntil(LOST_NANOS);
    cluster.losePower(
        Set.of(outOfReach), Set.of(lost), startDelayNanos, electionDelayNanos, FRESH_DELAY_NANOS);
    cluster.network.runUntil(RECOVERED_NANOS);
    int refusedBefore = cluster.refused;
    cluster.network.runUntil(RECOVERED_NANOS + 8_000 * MILLI);
    return cluster.refused - refusedBefore;
  }

  private ShareCluster newCluster(Recovery recovery) {
    return new ShareCluster(random, ACCOUNT, 5, 6, 0.0049, true, TIMES, recovery);
  }

  /** Generates load: the daemons together offer 60% of the rate. */
  private void arrive(ShareCluster cluster, List<Daemon> daemons) {
    daemons.get(random.nextInt(daemons.size())).request();
    cluster.network.after(
        (long) (-Math.log(1 - random.nextDouble()) / (0.6 * RATE) * 1e9),
        () -> arrive(cluster, daemons));
  }
}
