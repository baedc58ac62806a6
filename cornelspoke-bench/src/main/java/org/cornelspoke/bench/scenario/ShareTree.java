package org.cornelspoke.bench.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelspoke.coordination.quota.RateLimiter;
import org.cornelspoke.coordination.quota.ShareHolder;
import org.cornelspoke.coordination.quota.ShareMessage;
import org.cornelspoke.coordination.quota.ShareOwner;
import org.cornelspoke.coordination.quota.ShareRelay;
import org.cornelspoke.coordination.quota.ShareTimes;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.state.config.Account;

/** The leader, one relay for each data centre, and the share holders of the daemons. */
final class ShareTree {

  private static final long TICK_NANOS = 5 * VirtualTime.MILLI;
  private static final long LOCAL_NANOS = VirtualTime.MILLI / 5;

  private final VirtualTime time;
  private final long linkNanos;
  private final ShareOwner owner;
  private final List<ShareRelay> relays = new ArrayList<>();
  private final Map<String, ShareHolder> holders = new HashMap<>();
  private long session = 1;

  ShareTree(VirtualTime time, Deployment deployment) {
    this.time = time;
    linkNanos = (long) (deployment.linkMillis() * VirtualTime.MILLI);
    owner = new ShareOwner(ShareTimes.DEFAULT, this::toRelay, time.now());
    owner.setAccounts(deployment.accounts(), time.now());
    for (int i = 0; i < deployment.dataCentres().size(); i++) {
      String id = String.valueOf(i);
      ShareRelay relay =
          new ShareRelay(
              ShareTimes.DEFAULT,
              message -> time.after(linkNanos, () -> owner.onMessage(id, message, time.now())),
              this::toHolder);
      relays.add(relay);
      relay.onConnected(nextSession(), time.now());
      time.every(TICK_NANOS, () -> relay.onTick(time.now()));
    }
    time.every(
        TICK_NANOS,
        () -> {
          owner.confirmLeadership(time.now());
          owner.onTick(time.now());
        });
  }

  /** Creates the holder of a daemon, empty; a former one of the same daemon is forgotten. */
  RateLimiter newHolder(String daemon, int dataCentre) {
    ShareHolder[] holder = new ShareHolder[1];
    holder[0] =
        new ShareHolder(
            ShareTimes.DEFAULT,
            message ->
                time.after(
                    LOCAL_NANOS,
                    () -> {
                      if (holders.get(daemon) == holder[0]) {
                        relays.get(dataCentre).onHolderMessage(daemon, message, time.now());
                      }
                    }));
    holders.put(daemon, holder[0]);
    holder[0].onConnected(nextSession(), time.now());
    tick(daemon, holder[0]);
    return holder[0];
  }

  void remove(String daemon) {
    holders.remove(daemon);
  }

  private void tick(String daemon, ShareHolder holder) {
    time.after(
        TICK_NANOS,
        () -> {
          if (holders.get(daemon) == holder) {
            holder.onTick(time.now());
            tick(daemon, holder);
          }
        });
  }

  private long nextSession() {
    session += 1_000_000;
    return session;
  }

  private void toRelay(String id, ShareMessage message) {
    ShareRelay relay = relays.get(Integer.parseInt(id));
    time.after(linkNanos, () -> relay.onOwnerMessage(message, time.now()));
  }

  private void toHolder(String daemon, ShareMessage message) {
    ShareHolder holder = holders.get(daemon);
    time.after(
        LOCAL_NANOS,
        () -> {
          if (holder != null && holders.get(daemon) == holder) {
            holder.onMessage(message, time.now());
          }
        });
  }

  /** Baseline: every daemon has the whole rate divided by the number of daemons. */
  static final class StaticBuckets implements RateLimiter {
    private final VirtualTime time;
    private final Map<AccountId, TokenCounter> buckets = new HashMap<>();

    StaticBuckets(VirtualTime time, List<Account> accounts, int daemons) {
      this.time = time;
      for (Account account : accounts) {
        buckets.put(
            account.id(),
            new TokenCounter(
                account.rateTokensPerSecond() / daemons,
                Math.max(1, account.burstTokens() / daemons)));
      }
    }

    @Override
    public void acquire(AccountId account, long deadlineNanos, Listener listener, long nowNanos) {
      if (buckets.get(account).tryTake(time.now())) {
        listener.onGranted();
      } else {
        listener.onRefused(1000);
      }
    }
  }
}
