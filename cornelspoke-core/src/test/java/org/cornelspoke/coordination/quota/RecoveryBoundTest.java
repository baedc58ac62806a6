package org.cornelspoke.coordination.quota;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.cornelspoke.coordination.quota.ShareCluster.Daemon;
import org.cornelspoke.coordination.quota.ShareCluster.Recovery;
import org.cornelspoke.coordination.quota.ShareCluster.Relay;
import org.cornelspoke.state.config.Account;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a new leader that issues shares which a daemon or relay out of its reach still
 * holds: after a loss of power of all processes, with daemons that never return, relays that stay
 * with a former leader, several leader changes in a row and removed registrations.
 */
final class RecoveryBoundTest {

  private static final long SECOND = ShareCluster.SECOND;
  private static final double RATE = 600;
  private static final double BURST = 120;
  private static final Account ACCOUNT = new Account(ShareCluster.ACCOUNT, RATE, BURST, 1);
  private static final double SMALL_RATE = 8;
  private static final double SMALL_BURST = 6;
  private static final Account SMALL_ACCOUNT =
      new Account(ShareCluster.ACCOUNT, SMALL_RATE, SMALL_BURST, 1);
  private static final ShareTimes TIMES =
      ShareTimes.DEFAULT.withDaemonLeaseNanos(TimeUnit.MILLISECONDS.toNanos(1_600));

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void boundHoldsIfLeadersWaitForRelays(int seed) {
    ShareCluster cluster = runWithFaults(seed, ACCOUNT, Recovery.RELAY_REPORTS);
    assertThat(cluster.admissions.size()).isGreaterThan(2000);
    assertWithMessage("admissions above the bound, seed %s", seed)
        .that(excess(cluster.admissions, RATE, BURST))
        .isEqualTo(0);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void boundHoldsIfLeadersWaitForRelaysOrRegisteredDaemons(int seed) {
    ShareCluster cluster = runWithFaults(seed, ACCOUNT, Recovery.REPORTS);
    assertThat(cluster.admissions.size()).isGreaterThan(2000);
    assertWithMessage("admissions above the bound, seed %s", seed)
        .that(excess(cluster.admissions, RATE, BURST))
        .isEqualTo(0);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
  void boundHoldsForSingleTokens(int seed) {
    ShareCluster cluster = runWithFaults(seed, SMALL_ACCOUNT, Recovery.RELAY_REPORTS);
    assertThat(cluster.admissions.size()).isGreaterThan(50);
    assertWithMessage("admissions above the bound, seed %s", seed)
        .that(excess(cluster.admissions, SMALL_RATE, SMALL_BURST))
        .isEqualTo(0);
  }

  @Test
  void shareOfADaemonOutOfReachIsNotIssuedAgainAfterALossOfPower() {
    assertThat(excess(runWithDaemonOutOfReach(Recovery.RELAY_REPORTS).admissions, RATE, BURST))
        .isEqualTo(0);
  }

  @Test
  void checkRejectsRelaysThatIgnoreTheirFormerProcesses() {
    assertThat(excess(runWithDaemonOutOfReach(Recovery.RESTARTS_IGNORED).admissions, RATE, BURST))
        .isGreaterThan(0);
  }

  @Test
  void checkRejectsLeadersThatIgnoreRelaysOutOfReach() {
    assertThat(totalExcess(Recovery.CUT_OFF_RELAYS_IGNORED)).isGreaterThan(0);
  }

  private static int totalExcess(Recovery recovery) {
    int excess = 0;
    for (int seed = 1; seed <= 16; seed++) {
      excess += excess(runWithFaults(seed, ACCOUNT, recovery).admissions, RATE, BURST);
    }
    return excess;
  }

  private static ShareCluster runWithFaults(int seed, Account account, Recovery recovery) {
    RandomGenerator random = new Well19937c(seed);
    ShareCluster cluster = new ShareCluster(random, account, 3, 4, 0.0049, true, TIMES, recovery);
    double perSecond = account.rateTokensPerSecond() * (0.5 + 2 * random.nextDouble());
    arrive(cluster, random, perSecond);
    scheduleFault(cluster, random);
    cluster.network.runUntil(60 * SECOND);
    return cluster;
  }

  private static void arrive(ShareCluster cluster, RandomGenerator random, double perSecond) {
    int hotDaemon = (int) (cluster.network.nowNanos() / (2 * SECOND)) % cluster.daemons.size();
    int index = random.nextInt(2) == 0 ? hotDaemon : random.nextInt(cluster.daemons.size());
    cluster.daemons.get(index).request();
    cluster.network.after(
        (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9),
        () -> arrive(cluster, random, perSecond));
  }

  private static void scheduleFault(ShareCluster cluster, RandomGenerator random) {
    cluster.network.after(
        (long) (random.nextDouble() * 3 * SECOND),
        () -> {
          Daemon daemon = cluster.daemons.get(random.nextInt(cluster.daemons.size()));
          Relay relay = cluster.relays.get(random.nextInt(cluster.relays.size()));
          switch (random.nextInt(9)) {
            case 0 -> daemon.restart();
            case 1 -> daemon.connect(relay);
            case 2 -> relay.restart((long) (random.nextDouble() * SECOND));
            case 3 -> {
              daemon.disconnect();
              cluster.network.after(
                  (long) (random.nextDouble() * 5 * SECOND),
                  () -> daemon.connect(daemon.attached()));
            }
            case 4 -> losePower(cluster, random);
            case 5 -> {
              cluster.changeLeaderWithout(Set.of(relay));
              cluster.network.after(6 * SECOND, () -> relay.connect(cluster.leader()));
            }
            case 6 -> {
              cluster.changeLeaderWithout(Set.of(relay));
              cluster.network.after(
                  (long) (random.nextDouble() * SECOND),
                  () ->
                      cluster.changeLeaderWithout(
                          Set.of(cluster.relays.get(random.nextInt(cluster.relays.size())))));
              cluster.network.after(6 * SECOND, () -> relay.connect(cluster.leader()));
            }
            case 7 -> {
              cluster.unregister(daemon);
              cluster.network.after(8 * SECOND, () -> cluster.register(daemon));
            }
            default -> cluster.changeLeader();
          }
          scheduleFault(cluster, random);
        });
  }

  private static void losePower(ShareCluster cluster, RandomGenerator random) {
    Set<Daemon> outOfReach = new HashSet<>();
    Set<Daemon> lost = new HashSet<>();
    for (Daemon daemon : cluster.daemons) {
      double choice = random.nextDouble();
      if (choice < 0.25) {
        outOfReach.add(daemon);
      } else if (choice < 0.4) {
        lost.add(daemon);
      }
      if (choice < 0.4 && random.nextBoolean()) {
        cluster.network.after(8 * SECOND, () -> cluster.returnDaemon(daemon));
      }
    }
    long startDelayNanos = (long) (random.nextDouble() * SECOND);
    long electionDelayNanos = startDelayNanos + (long) (random.nextDouble() * SECOND / 2);
    cluster.losePower(
        outOfReach,
        lost,
        startDelayNanos,
        electionDelayNanos,
        electionDelayNanos + (long) (random.nextDouble() * SECOND / 2));
  }

  /** Runs a daemon with most of an overload, which keeps its share through a loss of power. */
  private static ShareCluster runWithDaemonOutOfReach(Recovery recovery) {
    RandomGenerator random = new Well19937c(7);
    ShareCluster cluster = new ShareCluster(random, ACCOUNT, 3, 4, 0.0049, true, TIMES, recovery);
    Daemon outOfReach = cluster.daemons.get(0);
    arriveAt(cluster, random, List.of(outOfReach), 2 * RATE);
    arriveAt(cluster, random, cluster.daemons, 2 * RATE);
    cluster.network.runUntil(8 * SECOND);
    cluster.losePower(Set.of(outOfReach), Set.of(), SECOND / 10, SECOND / 5, SECOND / 4);
    cluster.network.runUntil(16 * SECOND);
    return cluster;
  }

  private static void arriveAt(
      ShareCluster cluster, RandomGenerator random, List<Daemon> daemons, double perSecond) {
    daemons.get(random.nextInt(daemons.size())).request();
    cluster.network.after(
        (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9),
        () -> arriveAt(cluster, random, daemons, perSecond));
  }

  private static int excess(List<Long> admissions, double rate, double burst) {
    ExactBucket bucket = new ExactBucket(rate, burst);
    int excess = 0;
    for (long at : admissions) {
      if (!bucket.tryTake(at)) {
        excess++;
      }
    }
    return excess;
  }
}
