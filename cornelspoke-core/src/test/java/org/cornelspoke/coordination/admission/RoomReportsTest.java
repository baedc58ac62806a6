package org.cornelspoke.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.junit.jupiter.api.Test;

/** Tests what a daemon makes of the fractions that are reported to it. */
final class RoomReportsTest {

  private static final AccountId ACCOUNT = new AccountId("a");
  private static final AccountId OTHER = new AccountId("b");
  private static final TrafficClass CLASS = TrafficClass.INTERACTIVE;
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final RoomReports reports = new RoomReports();
  private long nowNanos;

  /** Guards against a throttle that stays closed when the service below stops to answer. */
  @Test
  void withoutReportsTheDistanceFromOneHalvesInHalfASecond() {
    report(ACCOUNT, 0.2, 100);
    double start = 1 - fraction(ACCOUNT);
    assertThat(start).isWithin(0.05).of(0.8);
    nowNanos += SECOND_NANOS / 5;
    for (int halves = 1; halves <= 6; halves++) {
      nowNanos += SECOND_NANOS / 2;
      assertThat(1 - fraction(ACCOUNT)).isAtMost(start * Math.pow(0.5, halves) + 1e-3);
    }
  }

  /** Guards against a class that never probes again, and numbers out of range. */
  @Test
  void fractionsAreBounded() {
    for (double room : new double[] {0, -5, Double.NEGATIVE_INFINITY}) {
      report(ACCOUNT, room, 100);
      assertThat(fraction(ACCOUNT)).isAtLeast(RoomReports.MIN_FRACTION);
    }
    for (double room : new double[] {Double.NaN, 7, Double.POSITIVE_INFINITY}) {
      report(ACCOUNT, room, 100);
      assertThat(fraction(ACCOUNT)).isAtMost(1);
    }
  }

  /** Guards against a restarted daemon that refuses before anything was reported to it. */
  @Test
  void nothingIsRefusedBeforeTheFirstReport() {
    assertThat(fraction(ACCOUNT)).isEqualTo(1);
  }

  /** Guards against an account whose own fraction is lost between its rare calls. */
  @Test
  void accountKeepsItsFractionWhileOthersOfItsClassReport() {
    for (int i = 0; i < 20; i++) {
      report(ACCOUNT, 0.1, 1);
      report(OTHER, 0.7, 100);
    }
    report(OTHER, 0.7, 200);
    assertThat(fraction(ACCOUNT)).isAtMost(0.35);
    assertThat(fraction(OTHER)).isAtLeast(0.6);
  }

  /** Guards against state that grows with the number of accounts that peers name. */
  @Test
  void theAccountsKeptAreBounded() {
    report(ACCOUNT, 0.02, 100);
    for (int i = 0; i < 5_000; i++) {
      report(new AccountId("x" + i), 0.9, 1);
    }
    // Forgotten, the account counts like its class.
    assertThat(fraction(ACCOUNT)).isEqualTo(fraction(new AccountId("never-seen")));
  }

  /** Guards against refused callers who are all told the same time. */
  @Test
  void refusedCallersAreToldWhenCapacityBecomesFree() {
    RoomThrottle throttle = new RoomThrottle(new SplittableRandom(1));
    for (int i = 0; i < 50; i++) {
      nowNanos += SECOND_NANOS / 10;
      throttle.tryAdmit(CLASS, ACCOUNT, 0, nowNanos);
    }
    long first = throttle.retryAfterMillis(CLASS, nowNanos);
    long second = throttle.retryAfterMillis(CLASS, nowNanos);
    assertThat(first).isIn(Range.closed(80L, 130L));
    assertThat(second - first).isIn(Range.closed(80L, 130L));
    for (int i = 0; i < 1_000; i++) {
      assertThat(throttle.retryAfterMillis(CLASS, nowNanos)).isAtMost(5_000);
    }
  }

  /** Guards against capacity unused because targets of one service differ by chance. */
  @Test
  void roomOfARequestIsTheMinimumOverServicesOfTheMeanOfEach() {
    CallRooms rooms = new CallRooms();
    assertThat(rooms.room().isPresent()).isFalse();
    rooms.add(new ServiceName("a"), 0.4);
    rooms.add(new ServiceName("a"), 0.8);
    assertThat(rooms.room().getAsDouble()).isWithin(1e-9).of(0.6);
    rooms.add(new ServiceName("b"), 0.5);
    rooms.add(new ServiceName("b"), Double.NaN);
    assertThat(rooms.room().getAsDouble()).isWithin(1e-9).of(0.5);
  }

  private void report(AccountId account, double room, int times) {
    for (int i = 0; i < times; i++) {
      nowNanos += SECOND_NANOS / 50;
      reports.add(CLASS, account, room, nowNanos);
    }
  }

  private double fraction(AccountId account) {
    return reports.fraction(CLASS, account, nowNanos);
  }
}
