package org.cornelspoke.coordination.quota;

import static com.google.common.truth.Truth.assertThat;

import java.lang.management.ManagementFactory;
import org.cornelspoke.coordination.quota.ShareMessage.Report;
import org.cornelspoke.coordination.quota.ShareMessage.TokenRequest;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Guards against control VMs that fall behind because the cost of a message grows with the number
 * of daemons and of waiting requests. Replies then came seconds after their callers had given up.
 */
class ShareAllocatorCostTest {

  private static final AccountId ACCOUNT = new AccountId("a");
  private static final int SMALL = 20;
  private static final int LARGE = 160;

  /**
   * Bound for 8 times the daemons; leaves room for caches and for sums that are redone at times.
   */
  private static final double MAX_RATIO = 3;

  private static final int WARM_UP_ROUNDS = 20;
  private static final int ROUNDS = 5;
  private static final int MESSAGES = 2_000;
  private static final long MESSAGE_INTERVAL_NANOS = 10_000;

  private int replies;

  @Test
  void costOfTokenRequestsDoesNotGrowWithWaitingDaemons() {
    assertThat(ratio(this::tokenRequests)).isAtMost(MAX_RATIO);
  }

  @Test
  @Tag("known-red")
  void costOfReportsDoesNotGrowWithWaitingDaemons() {
    assertThat(ratio(this::reports)).isAtMost(MAX_RATIO);
  }

  private interface Load {

    /** Plays messages from a number of daemons, none of which gets a token. */
    void play(int daemons, int messages);
  }

  private double ratio(Load load) {
    for (int i = 0; i < WARM_UP_ROUNDS; i++) {
      load.play(SMALL, MESSAGES);
    }
    return (double) nanos(load, LARGE) / nanos(load, SMALL);
  }

  private static long nanos(Load load, int daemons) {
    long least = Long.MAX_VALUE;
    for (int i = 0; i < ROUNDS; i++) {
      long startNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
      load.play(daemons, MESSAGES);
      least =
          Math.min(
              least, ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - startNanos);
    }
    return least;
  }

  private void tokenRequests(int daemons, int messages) {
    ShareAllocator allocator = allocator();
    long[] numbers = new long[daemons];
    for (int i = 0; i < messages; i++) {
      allocator.releaseExpired(i * MESSAGE_INTERVAL_NANOS);
      allocator.onTokenRequest(
          "d" + i % daemons,
          new TokenRequest(ACCOUNT, 1, ++numbers[i % daemons], amount(1)),
          i * MESSAGE_INTERVAL_NANOS);
    }
  }

  private void reports(int daemons, int messages) {
    ShareAllocator allocator = allocator();
    long[] sequences = new long[daemons];
    for (int i = 0; i < messages; i++) {
      allocator.releaseExpired(i * MESSAGE_INTERVAL_NANOS);
      allocator.onReport(
          "d" + i % daemons,
          new Report(
              ACCOUNT,
              1,
              ++sequences[i % daemons],
              TokenShare.EMPTY,
              TokenShare.EMPTY,
              amount(3),
              amount(1),
              0),
          false,
          i * MESSAGE_INTERVAL_NANOS);
      allocator.serveWaiting(i * MESSAGE_INTERVAL_NANOS);
    }
  }

  private ShareAllocator allocator() {
    return new ShareAllocator(
        ACCOUNT,
        new TokenBucket(0),
        (holder, message) -> replies++,
        nowNanos -> ShareTimes.DEFAULT.leaseNanos(),
        ShareAllocator::exhaustionByBacklog,
        ShareTimes.DEFAULT.withMaxWaitNanos(200_000_000L),
        0);
  }

  private static ClassAmounts amount(double amount) {
    return ClassAmounts.NONE.plus(TrafficClass.INTERACTIVE, amount);
  }
}
