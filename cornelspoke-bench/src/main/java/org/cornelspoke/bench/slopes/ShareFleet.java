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
 * The share holders of many daemons, their relays and one owner in virtual time. Counts messages,
 * encoded bytes and processor time of each level.
 */
final class ShareFleet {

  private static final long STEP_NANOS = 5_000_000L;
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final long SHARE_WAIT_NANOS = 50_000_000L;
  private static final long SESSION = 1;

  /** Load of one daemon and the size of the fleet. */
  record Size(int relays, int daemonsPerRelay, int accounts, double callsPerSecond) {

    int daemons() {
      return relays * daemonsPerRelay;
    }
  }

  /** Totals of one run. */
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
  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
  private final ArrayDeque<Runnable> deliveries = new ArrayDeque<>();
  private final List<ShareHolder> holders = new ArrayList<>();
  private final List<ShareRelay> relays = new ArrayList<>();
  private final List<AccountId> accounts = new ArrayList<>();
  private final Map<String, Integer> holderIndex = new TreeMap<>();
  private final PoissonDistribution arrivals;
  private final ShareOwner owner;
  private Totals totals = new Totals();
  private long now = SECOND_NANOS;

  ShareFleet(Size size, RandomGenerator random) {
    this.size = size;
    double perStep = size.callsPerSecond() * STEP_NANOS / SECOND_NANOS / size.accounts();
    this.arrivals =
        new PoissonDistribution(
            random,
            perStep,
            PoissonDistribution.DEFAULT_EPSILON,
            PoissonDistribution.DEFAULT_MAX_ITERATIONS);
    this.owner = new ShareOwner(ShareTimes.DEFAULT, this::toRelay, now);
    List<Account> configured = new ArrayList<>();
    for (int a = 0; a < size.accounts(); a++) {
      AccountId id = new AccountId("account-" + a);
      accounts.add(id);
      double rate = 1.5 * size.daemons() * size.callsPerSecond() / size.accounts();
      configured.add(new Account(id, Math.max(1, rate), Math.max(1, rate / 2), 1));
    }
    owner.setAccounts(configured, now);
    for (int r = 0; r < size.relays(); r++) {
      addRelay(r);
    }
  }

  /** Runs the fleet and returns what was counted after the warm-up. */
  Totals run(int warmUpSeconds, int seconds) {
    runFor(warmUpSeconds);
    totals = new Totals();
    runFor(seconds);
    return totals;
  }

  private void addRelay(int relayNumber) {
    String id = Integer.toString(relayNumber);
    ShareRelay relay =
        new ShareRelay(ShareTimes.DEFAULT, message -> toOwner(id, message), this::toHolder);
    relays.add(relay);
    relay.onConnected(SESSION, now);
    for (int d = 0; d < size.daemonsPerRelay(); d++) {
      String daemon = id + "-" + d;
      holderIndex.put(daemon, holders.size());
      ShareHolder holder =
          new ShareHolder(
              ShareTimes.DEFAULT, message -> holderToRelay(relayNumber, daemon, message));
      holders.add(holder);
      holder.onConnected(SESSION, now);
    }
  }

  private void runFor(int seconds) {
    long end = now + seconds * SECOND_NANOS;
    while (now < end) {
      now += STEP_NANOS;
      step();
    }
  }

  private void step() {
    owner.confirmLeadership(now);
    int due = deliveries.size();
    for (int i = 0; i < due; i++) {
      deliveries.poll().run();
    }
    totals.daemonCpuNanos += cpu(this::runHolders);
    totals.relayCpuNanos += cpu(() -> relays.forEach(relay -> relay.onTick(now)));
    totals.ownerCpuNanos += cpu(() -> owner.onTick(now));
  }

  private void runHolders() {
    for (ShareHolder holder : holders) {
      for (AccountId account : accounts) {
        for (int calls = arrivals.sample(); calls > 0; calls--) {
          holder.acquire(account, now + SHARE_WAIT_NANOS, new Counting(), now);
        }
      }
      holder.onTick(now);
    }
  }

  private void holderToRelay(int relay, String daemon, ShareMessage message) {
    countDaemon(message);
    deliveries.add(
        () ->
            totals.relayCpuNanos +=
                cpu(() -> relays.get(relay).onHolderMessage(daemon, message, now)));
  }

  private void toHolder(String daemon, ShareMessage message) {
    countDaemon(message);
    ShareHolder holder = holders.get(holderIndex.get(daemon));
    deliveries.add(() -> totals.daemonCpuNanos += cpu(() -> holder.onMessage(message, now)));
  }

  private void toOwner(String relay, ShareMessage message) {
    countOwner(message);
    deliveries.add(() -> totals.ownerCpuNanos += cpu(() -> owner.onMessage(relay, message, now)));
  }

  private void toRelay(String relay, ShareMessage message) {
    countOwner(message);
    deliveries.add(
        () ->
            totals.relayCpuNanos +=
                cpu(() -> relays.get(Integer.parseInt(relay)).onOwnerMessage(message, now)));
  }

  private void countDaemon(ShareMessage message) {
    totals.daemonMessages++;
    totals.daemonMessagesByKind.merge(message.getClass().getSimpleName(), 1L, Long::sum);
    totals.daemonBytes += ShareMessageCodec.encode(List.of(message)).length;
  }

  private void countOwner(ShareMessage message) {
    totals.relayOwnerMessages++;
    totals.relayOwnerBytes += ShareMessageCodec.encode(List.of(message)).length;
  }

  private long cpu(Runnable action) {
    long before = threads.getCurrentThreadCpuTime();
    action.run();
    return threads.getCurrentThreadCpuTime() - before;
  }

  private final class Counting implements RateLimiter.Listener {

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
