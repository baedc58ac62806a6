package org.cornelspoke.bench.slopes;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.math3.distribution.PoissonDistribution;
import org.apache.commons.math3.random.RandomGenerator;
import org.cornelspoke.coordination.quota.RateLimiter;
import org.cornelspoke.coordination.quota.ShareHolder;
import org.cornelspoke.coordination.quota.ShareMessage;
import org.cornelspoke.coordination.quota.ShareOwner;
import org.cornelspoke.coordination.quota.ShareRelay;
import org.cornelspoke.coordination.quota.ShareTimes;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.protocol.quota.ShareMessageCodec;
import org.cornelspoke.state.config.Account;

/**
 * Simulates one share owner, its relays and the share holders of many daemons in virtual time, and
 * counts the messages, encoded bytes and CPU time of each level.
 */
final class ShareFleet {

  private static final long STEP_NANOS = 5_000_000L;
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final long MAX_SHARE_WAIT_NANOS = 50_000_000L;
  private static final long SESSION_NUMBER = 1;

  /**
   * The size of a fleet.
   *
   * @param callsPerSecond calls at each daemon, spread evenly over the accounts
   */
  record Size(int relays, int daemonsPerRelay, int accounts, double callsPerSecond) {

    int daemons() {
      return relays * daemonsPerRelay;
    }
  }

  /** Counts of one run; the byte and message counts cover both directions. */
  static final class Totals {
    long daemonBytes;
    long daemonMessages;
    long relayOwnerBytes;
    long relayOwnerMessages;
    long daemonCpuNanos;
    long relayCpuNanos;
    long ownerCpuNanos;
    final Map<String, Long> daemonMessagesByKind = new TreeMap<>();
    long granted;
    long refused;
  }

  private final Size size;
  private final ThreadMXBean threadBean = ManagementFactory.getThreadMXBean();
  private final ArrayDeque<Runnable> pendingDeliveries = new ArrayDeque<>();
  private final List<ShareHolder> holders = new ArrayList<>();
  private final List<ShareRelay> relays = new ArrayList<>();
  private final List<AccountId> accounts = new ArrayList<>();
  private final Map<String, Integer> holderIndexes = new TreeMap<>();
  private final PoissonDistribution arrivalsPerStep;
  private final ShareOwner owner;
  private Totals totals = new Totals();
  private long nowNanos = SECOND_NANOS;

  ShareFleet(Size size, RandomGenerator random) {
    this.size = size;
    double meanArrivalsPerStep =
        size.callsPerSecond() * STEP_NANOS / SECOND_NANOS / size.accounts();
    this.arrivalsPerStep =
        new PoissonDistribution(
            random,
            meanArrivalsPerStep,
            PoissonDistribution.DEFAULT_EPSILON,
            PoissonDistribution.DEFAULT_MAX_ITERATIONS);
    this.owner = new ShareOwner(ShareTimes.DEFAULT, this::sendToRelay, nowNanos);
    List<Account> configuredAccounts = new ArrayList<>();
    for (int a = 0; a < size.accounts(); a++) {
      AccountId id = new AccountId("account-" + a);
      accounts.add(id);
      double rate = 1.5 * size.daemons() * size.callsPerSecond() / size.accounts();
      configuredAccounts.add(new Account(id, Math.max(1, rate), Math.max(1, rate / 2), 1));
    }
    owner.setAccounts(configuredAccounts, nowNanos);
    for (int r = 0; r < size.relays(); r++) {
      addRelay(r);
    }
  }

  /** Runs the simulation and returns the counts after the warm-up. */
  Totals run(int warmUpSeconds, int seconds) {
    runFor(warmUpSeconds);
    totals = new Totals();
    runFor(seconds);
    return totals;
  }

  private void addRelay(int relayNumber) {
    String id = Integer.toString(relayNumber);
    ShareRelay relay =
        new ShareRelay(ShareTimes.DEFAULT, message -> sendToOwner(id, message), this::sendToHolder);
    relays.add(relay);
    relay.onConnected(SESSION_NUMBER, nowNanos);
    for (int d = 0; d < size.daemonsPerRelay(); d++) {
      String daemon = id + "-" + d;
      holderIndexes.put(daemon, holders.size());
      ShareHolder holder =
          new ShareHolder(
              ShareTimes.DEFAULT, message -> sendFromHolder(relayNumber, daemon, message));
      holders.add(holder);
      holder.onConnected(SESSION_NUMBER, nowNanos);
    }
  }

  private void runFor(int seconds) {
    long endNanos = nowNanos + seconds * SECOND_NANOS;
    while (nowNanos < endNanos) {
      nowNanos += STEP_NANOS;
      step();
    }
  }

  private void step() {
    owner.confirmLeadership(nowNanos);
    int dueCount = pendingDeliveries.size();
    for (int i = 0; i < dueCount; i++) {
      pendingDeliveries.poll().run();
    }
    totals.daemonCpuNanos += cpuNanosOf(this::stepHolders);
    totals.relayCpuNanos += cpuNanosOf(() -> relays.forEach(relay -> relay.onTick(nowNanos)));
    totals.ownerCpuNanos += cpuNanosOf(() -> owner.onTick(nowNanos));
  }

  private void stepHolders() {
    for (ShareHolder holder : holders) {
      for (AccountId account : accounts) {
        for (int calls = arrivalsPerStep.sample(); calls > 0; calls--) {
          holder.acquire(
              account, nowNanos + MAX_SHARE_WAIT_NANOS, new CountingListener(), nowNanos);
        }
      }
      holder.onTick(nowNanos);
    }
  }

  private void sendFromHolder(int relay, String daemon, ShareMessage message) {
    countDaemonMessage(message);
    pendingDeliveries.add(
        () ->
            totals.relayCpuNanos +=
                cpuNanosOf(() -> relays.get(relay).onHolderMessage(daemon, message, nowNanos)));
  }

  private void sendToHolder(String daemon, ShareMessage message) {
    countDaemonMessage(message);
    ShareHolder holder = holders.get(holderIndexes.get(daemon));
    pendingDeliveries.add(
        () -> totals.daemonCpuNanos += cpuNanosOf(() -> holder.onMessage(message, nowNanos)));
  }

  private void sendToOwner(String relay, ShareMessage message) {
    countOwnerMessage(message);
    pendingDeliveries.add(
        () -> totals.ownerCpuNanos += cpuNanosOf(() -> owner.onMessage(relay, message, nowNanos)));
  }

  private void sendToRelay(String relay, ShareMessage message) {
    countOwnerMessage(message);
    pendingDeliveries.add(
        () ->
            totals.relayCpuNanos +=
                cpuNanosOf(
                    () -> relays.get(Integer.parseInt(relay)).onOwnerMessage(message, nowNanos)));
  }

  private void countDaemonMessage(ShareMessage message) {
    totals.daemonMessages++;
    totals.daemonMessagesByKind.merge(message.getClass().getSimpleName(), 1L, Long::sum);
    totals.daemonBytes += ShareMessageCodec.encode(List.of(message)).length;
  }

  private void countOwnerMessage(ShareMessage message) {
    totals.relayOwnerMessages++;
    totals.relayOwnerBytes += ShareMessageCodec.encode(List.of(message)).length;
  }

  private long cpuNanosOf(Runnable action) {
    long startNanos = threadBean.getCurrentThreadCpuTime();
    action.run();
    return threadBean.getCurrentThreadCpuTime() - startNanos;
  }

  private final class CountingListener implements RateLimiter.Listener {

    @Override
    public void onGranted() {
      totals.granted++;
    }

    @Override
    public void onRefused(long retryAfterMillis) {
      totals.refused++;
    }
  }
}
