package org.cornelspoke.coordination.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.admission.ChainLedger.Mode;
import org.cornelspoke.coordination.admission.ChainLedger.Tally;
import org.cornelspoke.model.TrafficClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays the load of the deployment ledger on its bottleneck service, see {@link ChainLedger}. */
final class ChainAdmissionTest {

  private static final double COMPLETED = 0.95;
  private static final double CLASS_TOLERANCE = 0.05;
  private static final double MAX_MIN_SHARE = 0.95;
  private static final int HEAVY_ACCOUNT = 5;
  private static final double SETTLE_SECONDS = 10;

  /** Guards against chains that are admitted and then fail at the bottleneck. */
  @ParameterizedTest
  @ValueSource(doubles = {1.6, 2.1})
  void admittedChainsComplete(double surge) {
    assertThat(runAt(Mode.CHAINS, TrafficClass.INTERACTIVE, surge).completedFraction())
        .isAtLeast(COMPLETED);
  }

  /** Guards against a throttle that is too slow for a load that quadruples in a moment. */
  @Test
  void admittedChainsCompleteThroughASuddenSurge() {
    ChainLedger ledger = settled(Mode.CHAINS, TrafficClass.INTERACTIVE, 0.5);
    ledger.surge = seconds -> 2.1;
    ledger.measureSeconds(20);
    assertThat(ledger.completedFraction()).isAtLeast(COMPLETED);
  }

  /** Guards against a check that passes although root requests aren't throttled. */
  @ParameterizedTest
  @ValueSource(doubles = {1.6, 2.1})
  void checkRejectsChainsWithoutThrottle(double surge) {
    assertThat(runAt(Mode.ROOTS, TrafficClass.INTERACTIVE, surge).completedFraction())
        .isLessThan(COMPLETED);
  }

  /** Guards against calls of chains that come before more urgent chains of the same service. */
  @ParameterizedTest
  @CsvSource({"1.6,CRITICAL", "2.1,CRITICAL", "1.6,BULK", "2.1,BULK"})
  void moreUrgentClassIsServedAtLeastAsOften(double surge, TrafficClass credit) {
    ChainLedger ledger = runAt(Mode.CHAINS, credit, surge);
    double difference =
        ledger.servedFraction("points-credit") - ledger.servedFraction("balance-read");
    if (credit == TrafficClass.CRITICAL) {
      assertThat(difference).isAtLeast(-CLASS_TOLERANCE);
      assertThat(ledger.servedFraction("points-credit"))
          .isAtLeast(ledger.servedFraction("offer-read") - CLASS_TOLERANCE);
    } else {
      assertThat(difference).isAtMost(CLASS_TOLERANCE);
    }
    assertThat(ledger.completedFraction()).isAtLeast(COMPLETED);
  }

  /** Guards against a check that passes although calls don't tell their root. */
  @Test
  void checkRejectsCallsWithoutRoot() {
    ChainLedger ledger = runAt(Mode.ROOM_WITHOUT_ROOTS, TrafficClass.CRITICAL, 2.1);
    assertThat(ledger.servedFraction("points-credit"))
        .isLessThan(ledger.servedFraction("balance-read") - CLASS_TOLERANCE);
    assertThat(ledger.completedFraction()).isLessThan(COMPLETED);
  }

  /** Guards against an account at 7 times its rate that takes the capacity of the others. */
  @Test
  void accountAboveItsRateTakesNothingFromOthers() {
    assertThat(smallestMaxMinShare(Mode.CHAINS)).isAtLeast(MAX_MIN_SHARE);
  }

  /** Guards against a check that passes although all accounts are throttled alike. */
  @Test
  void checkRejectsThrottleWithoutAccounts() {
    assertThat(smallestMaxMinShare(Mode.PRESSURE)).isLessThan(MAX_MIN_SHARE);
  }

  /** Guards against refusals at the normal rates, at which there is capacity for all. */
  @Test
  void normalLoadIsNotRefused() {
    ChainLedger ledger = runAt(Mode.CHAINS, TrafficClass.INTERACTIVE, 1);
    for (String kind : new String[] {"balance-read", "points-credit"}) {
      Tally total = ledger.total(kind);
      assertThat((double) total.refused / total.offered).isAtMost(0.01);
    }
  }

  /** Guards against refusals that leave the bottleneck partly idle under overload. */
  @ParameterizedTest
  @ValueSource(doubles = {1.6, 2.1})
  void overloadedBottleneckIsUsedUpToItsTarget(double surge) {
    ChainLedger ledger = runAt(Mode.CHAINS, TrafficClass.INTERACTIVE, surge);
    double target = 0.9 * 15 / ChainLedger.SLOTS;
    assertThat(ledger.utilisation(30)).isAtLeast(target);
  }

  /** Guards against a loop that oscillates when its reports arrive late. */
  @ParameterizedTest
  @ValueSource(longs = {20, 150, 300, 600})
  void fractionDoesNotOscillateWithDelay(long delayMillis) {
    ChainLedger ledger = new ChainLedger(Mode.CHAINS, ChainLedger.ledger(TrafficClass.INTERACTIVE));
    ledger.feedbackNanos = TimeUnit.MILLISECONDS.toNanos(delayMillis);
    ledger.surge = seconds -> 1.8;
    ledger.runSeconds(SETTLE_SECONDS);
    ledger.measureSeconds(60);
    double mean = ledger.fractions.stream().mapToDouble(x -> x).average().orElseThrow();
    double variance =
        ledger.fractions.stream().mapToDouble(x -> (x - mean) * (x - mean)).average().orElseThrow();
    // Chance alone gives 0.04 to 0.05; an oscillation between the bounds gives 0.3 or more.
    assertThat(Math.sqrt(variance)).isAtMost(0.1);
    assertThat(ledger.completedFraction()).isAtLeast(COMPLETED);
  }

  /** Guards against refusals that go on after the surge. */
  @Test
  void everythingIsAdmittedSoonAfterASurge() {
    ChainLedger ledger = settled(Mode.CHAINS, TrafficClass.INTERACTIVE, 2.1);
    ledger.surge = seconds -> 0.8;
    ledger.runSeconds(3);
    ledger.measureSeconds(10);
    Tally total = ledger.total("balance-read");
    assertThat((double) total.refused / total.offered).isAtMost(0.01);
  }

  /** Guards against a loop that depends on every reply. */
  @Test
  void lostRepliesDoNotLiftTheThrottle() {
    ChainLedger ledger = new ChainLedger(Mode.CHAINS, ChainLedger.ledger(TrafficClass.INTERACTIVE));
    ledger.lostReplies = 0.3;
    ledger.surge = seconds -> 1.8;
    ledger.runSeconds(SETTLE_SECONDS);
    ledger.measureSeconds(30);
    assertThat(ledger.completedFraction()).isAtLeast(COMPLETED);
  }

  /** Guards against chains that fail after the root daemons or those of the service restart. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void restartedDaemonsLearnTheFractionAgain(boolean rootDaemons) {
    ChainLedger ledger = settled(Mode.CHAINS, TrafficClass.INTERACTIVE, 1.8);
    if (rootDaemons) {
      for (int i = 0; i < ChainLedger.ROOT_DAEMONS; i++) {
        ledger.restartDaemon(i);
      }
    } else {
      for (int i = 0; i < ChainLedger.GATES; i++) {
        ledger.restartGate(i);
      }
    }
    ledger.measureSeconds(10);
    assertThat(ledger.completedFraction()).isAtLeast(COMPLETED);
  }

  /** Guards against one target with stale reports that keeps most requests out after a surge. */
  @Test
  void targetWithStaleReportsDoesNotKeepRequestsOut() {
    ChainLedger ledger = settled(Mode.CHAINS, TrafficClass.INTERACTIVE, 1.8);
    ledger.freezeReports(0, true);
    ledger.surge = seconds -> 0.8;
    ledger.runSeconds(3);
    ledger.measureSeconds(20);
    // One of four targets reports about 0.7; its part of the requests is at most refused.
    assertThat(ledger.servedFraction("balance-read")).isAtLeast(0.75);
  }

  /** Guards against a target that keeps requests out of a whole service by false reports. */
  @ParameterizedTest
  @ValueSource(doubles = {0, -1, Double.NaN, 1e300})
  void falseReportsOfOneTargetAreBounded(double room) {
    ChainLedger ledger = new ChainLedger(Mode.CHAINS, ChainLedger.ledger(TrafficClass.INTERACTIVE));
    ledger.setFalseRoom(0, room);
    ledger.runSeconds(SETTLE_SECONDS);
    ledger.measureSeconds(30);
    // One of four targets lies, so at most its part of the requests, and the noise, is refused.
    assertThat(ledger.servedFraction("balance-read")).isAtLeast(0.7);
  }

  /** Guards against a daemon that takes the capacity of lower classes by a false fraction. */
  @ParameterizedTest
  @EnumSource(TrafficClass.class)
  void falseFractionOfOneDaemonIsBounded(TrafficClass credit) {
    ChainLedger ledger = new ChainLedger(Mode.CHAINS, ChainLedger.ledger(credit));
    ledger.setFalseFraction(0, RoomReports.MIN_FRACTION);
    ledger.runSeconds(SETTLE_SECONDS);
    ledger.measureSeconds(30);
    // One of eight daemons counts 50 times; the fourfold load that remains after the correction
    // would refuse more than half without it.
    assertThat(ledger.servedFraction("balance-read")).isAtLeast(0.5);
    assertThat(ledger.servedFraction("points-credit")).isAtLeast(0.5);
  }

  private static ChainLedger settled(Mode mode, TrafficClass credit, double surge) {
    ChainLedger ledger = new ChainLedger(mode, ChainLedger.ledger(credit));
    ledger.surge = seconds -> surge;
    ledger.runSeconds(SETTLE_SECONDS);
    return ledger;
  }

  private static ChainLedger runAt(Mode mode, TrafficClass credit, double surge) {
    ChainLedger ledger = settled(mode, credit, surge);
    ledger.measureSeconds(30);
    return ledger;
  }

  /**
   * Returns the least that an account at its usual rate was served, as a part of its max-min share
   * of all calls of completed chains. Ten minutes give 2,700 requests of an account.
   */
  private static double smallestMaxMinShare(Mode mode) {
    ChainLedger ledger = new ChainLedger(mode, ChainLedger.ledger(TrafficClass.INTERACTIVE));
    ledger.surge = seconds -> 1.6;
    ledger.heavyAccount = HEAVY_ACCOUNT;
    ledger.heavyFactor = 7;
    ledger.runSeconds(SETTLE_SECONDS);
    ledger.measureSeconds(600);
    double[] demands = new double[ChainLedger.ACCOUNTS];
    double[] served = new double[ChainLedger.ACCOUNTS];
    int[] weights = new int[ChainLedger.ACCOUNTS];
    double capacity = 0;
    for (int account = 0; account < ChainLedger.ACCOUNTS; account++) {
      weights[account] = 1;
      for (Map.Entry<String, Integer> calls :
          Map.of("balance-read", 4, "points-credit", 8).entrySet()) {
        Tally tally = ledger.tallies.get(calls.getKey()).get(account);
        demands[account] += calls.getValue() * tally.offered;
        served[account] += calls.getValue() * tally.completed;
      }
      capacity += served[account];
    }
    double level = MaxMinShares.level(demands, weights, demands.length, capacity);
    double smallest = Double.POSITIVE_INFINITY;
    for (int account = 0; account < ChainLedger.ACCOUNTS; account++) {
      if (account != HEAVY_ACCOUNT) {
        smallest = Math.min(smallest, served[account] / Math.min(level, demands[account]));
      }
    }
    assertWithMessage("capacity in use").that(ledger.utilisation(600)).isAtLeast(0.8);
    return smallest;
  }
}
