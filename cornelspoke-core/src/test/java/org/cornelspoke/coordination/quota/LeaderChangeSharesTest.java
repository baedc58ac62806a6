package org.cornelspoke.coordination.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.state.config.Account;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a successor that reissues shares still held, and against one that stays quiet
 * after all daemons have reported. The leader and the relay of half of the daemons are lost
 * together.
 */
final class LeaderChangeSharesTest {

  private static final AccountId ACCOUNT = new AccountId("large");
  private static final double RATE = 200;
  private static final double BURST = 40;
  private static final int DAEMONS = 6;
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long TICK_NANOS = 50 * MILLI;
  private static final long LINK_NANOS = MILLI;
  private static final long LOST_NANOS = 3_000 * MILLI;
  private static final long ELECTED_NANOS = LOST_NANOS + 300 * MILLI;
  private static final long REATTACHED_NANOS = LOST_NANOS + 500 * MILLI;

  private static final ShareTimes TIMES =
      new ShareTimes(
          TimeUnit.MILLISECONDS.toNanos(3_500),
          300 * MILLI,
          1_500 * MILLI,
          TimeUnit.SECONDS.toNanos(4));

  private final RandomGenerator random = new Well19937c(11);
  private final SimulatedNetwork network = new SimulatedNetwork(random);
  private final List<ShareHolder> holders = new ArrayList<>();
  private final List<ShareRelay> relays = new ArrayList<>();
  private final int[] relayOf = new int[DAEMONS];
  private final List<Long> admissions = new ArrayList<>();
  private ShareOwner owner;
  private long firstIssueNanos;

  @BeforeEach
  void loseLeaderAndRelay() {
    owner = newOwner(-TimeUnit.MINUTES.toNanos(1));
    relays.add(newRelay(0));
    relays.add(newRelay(1));
    for (int i = 0; i < DAEMONS; i++) {
      holders.add(newHolder(i));
      relayOf[i] = i % 2;
      holders.get(i).onConnected(1, 0);
      arrive(i);
    }
    tick();
    network.after(LOST_NANOS, () -> owner = null);
    network.after(
        ELECTED_NANOS,
        () -> {
          owner = newOwner(ELECTED_NANOS);
          relays.get(1).onConnected(1_000, ELECTED_NANOS);
          for (int i = 1; i < DAEMONS; i += 2) {
            sendReady(i);
          }
        });
    for (int i = 0; i < DAEMONS; i += 2) {
      int daemon = i;
      network.after(
          REATTACHED_NANOS,
          () -> {
            relayOf[daemon] = 1;
            holders.get(daemon).onConnected(1_000, REATTACHED_NANOS);
            sendReady(daemon);
          });
    }
  }

  @Test
  void heldSharesAndNewOnesTogetherStayWithinTheRate() {
    network.runUntil(LOST_NANOS + 6_000 * MILLI);

    for (int from = 0; from < admissions.size(); from++) {
      for (int to = from; to < admissions.size(); to++) {
        double seconds = (admissions.get(to) - admissions.get(from)) / 1e9;
        assertThat(to - from + 1.0).isAtMost(RATE * seconds + BURST + 1);
      }
    }
  }

  @Test
  void successorIssuesAsSoonAsEveryDaemonHasReported() {
    network.runUntil(LOST_NANOS + 3_000 * MILLI);

    assertThat(firstIssueNanos).isAtLeast(REATTACHED_NANOS);
    assertThat(firstIssueNanos).isAtMost(REATTACHED_NANOS + 5 * LINK_NANOS);
  }

  @Test
  void rateIsServedFromOneSecondAfterTheLoss() {
    network.runUntil(LOST_NANOS + 6_000 * MILLI);

    long served =
        admissions.stream()
            .filter(at -> at >= LOST_NANOS + 1_000 * MILLI && at < LOST_NANOS + 3_000 * MILLI)
            .count();
    assertThat(served / 2.0).isAtLeast(0.9 * RATE);
  }

  private ShareOwner newOwner(long electedAtNanos) {
    ShareOwner created = new ShareOwner(TIMES, this::toRelay, electedAtNanos);
    created.confirmLeadership(network.nowNanos());
    created.setAccounts(List.of(new Account(ACCOUNT, RATE, BURST, 1)), network.nowNanos());
    return created;
  }

  private ShareRelay newRelay(int index) {
    ShareRelay relay =
        new ShareRelay(
            TIMES,
            message -> toOwner(current -> current.onMessage(String.valueOf(index), message, now())),
            this::toHolder);
    relay.onConnected(1, 0);
    return relay;
  }

  private ShareHolder newHolder(int index) {
    return new ShareHolder(
        TIMES,
        message -> {
          int relay = relayOf[index];
          network.after(
              LINK_NANOS,
              () -> {
                if (isUp(relay)) {
                  relays.get(relay).onHolderMessage(String.valueOf(index), message, now());
                }
              });
        });
  }

  /** Sends the sendReady message after the reports, over the same links. */
  private void sendReady(int daemon) {
    network.after(
        LINK_NANOS,
        () ->
            toOwner(
                current -> {
                  current.onReady(String.valueOf(daemon));
                  current.endQuietPeriodIfReady(List.of("0", "1", "2", "3", "4", "5"), now());
                  if (!current.isInQuietPeriod(now()) && firstIssueNanos == 0) {
                    firstIssueNanos = now();
                  }
                }));
  }

  private void toOwner(Consumer<ShareOwner> action) {
    network.after(
        LINK_NANOS,
        () -> {
          if (owner != null) {
            action.accept(owner);
          }
        });
  }

  private void toRelay(String id, ShareMessage message) {
    network.after(
        LINK_NANOS,
        () -> {
          int relay = Integer.parseInt(id);
          if (isUp(relay)) {
            relays.get(relay).onOwnerMessage(message, now());
          }
        });
  }

  private void toHolder(String id, ShareMessage message) {
    ShareHolder holder = holders.get(Integer.parseInt(id));
    network.after(LINK_NANOS, () -> holder.onMessage(message, now()));
  }

  private boolean isUp(int relay) {
    return relay == 1 || now() < LOST_NANOS;
  }

  private long now() {
    return network.nowNanos();
  }

  private void tick() {
    long now = now();
    if (owner != null) {
      owner.confirmLeadership(now);
      owner.onTick(now);
    }
    for (int i = 0; i < relays.size(); i++) {
      if (isUp(i)) {
        relays.get(i).onTick(now);
      }
    }
    holders.forEach(holder -> holder.onTick(now));
    network.after(TICK_NANOS, this::tick);
  }

  /** Generates load: all daemons together offer twice the rate. */
  private void arrive(int daemon) {
    long now = now();
    holders
        .get(daemon)
        .acquire(
            ACCOUNT,
            now + 50 * MILLI,
            new RateLimiter.Listener() {
              @Override
              public void onGranted() {
                admissions.add(network.nowNanos());
              }

              @Override
              public void onRefused(long retryAfterMillis) {
                // The test counts admissions only.
              }
            },
            now);
    double perSecond = 2 * RATE / DAEMONS;
    network.after(
        (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9), () -> arrive(daemon));
  }
}
