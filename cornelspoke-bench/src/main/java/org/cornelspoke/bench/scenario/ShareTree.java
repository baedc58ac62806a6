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

/** The share owner, one relay in each data centre, and the share holders of the daemons. */
final class ShareTree {

  private static final long TICK_INTERVAL_NANOS = 5 * VirtualTime.MILLI;
  private static final long LOCAL_DELAY_NANOS = VirtualTime.MILLI / 5;

  private final VirtualTime time;
  private final long linkDelayNanos;
  private final ShareOwner owner;
  private final List<ShareRelay> relays = new ArrayList<>();
  private final Map<String, ShareHolder> holders = new HashMap<>();
  private long lastSessionNumber = 1;

  ShareTree(VirtualTime time, Deployment deployment) {
    this.time = time;
    linkDelayNanos = (long) (deployment.linkMillis() * VirtualTime.MILLI);
    owner = new ShareOwner(ShareTimes.DEFAULT, this::sendToRelay, time.now());
    owner.setAccounts(deployment.accounts(), time.now());
    for (int i = 0; i < deployment.dataCentres().size(); i++) {
      String id = String.valueOf(i);
      ShareRelay relay =
          new ShareRelay(
              ShareTimes.DEFAULT,
              message -> time.after(linkDelayNanos, () -> owner.onMessage(id, message, time.now())),
              this::sendToHolder);
      relays.add(relay);
      relay.onConnected(nextSessionNumber(), time.now());
      time.every(TICK_INTERVAL_NANOS, () -> relay.onTick(time.now()));
    }
    time.every(
        TICK_INTERVAL_NANOS,
        () -> {
          owner.confirmLeadership(time.now());
          owner.onTick(time.now());
        });
  }

  /** Creates an empty share holder for a daemon and replaces the daemon's previous holder. */
  RateLimiter newHolder(String daemon, int dataCentre) {
    ShareHolder[] holder = new ShareHolder[1];
    holder[0] =
        new ShareHolder(
            ShareTimes.DEFAULT,
            message ->
                time.after(
                    LOCAL_DELAY_NANOS,
                    () -> {
                      if (holders.get(daemon) == holder[0]) {
                        relays.get(dataCentre).onHolderMessage(daemon, message, time.now());
                      }
                    }));
    holders.put(daemon, holder[0]);
    holder[0].onConnected(nextSessionNumber(), time.now());
    scheduleTick(daemon, holder[0]);
    return holder[0];
  }

  void remove(String daemon) {
    holders.remove(daemon);
  }

  private void scheduleTick(String daemon, ShareHolder holder) {
    time.after(
        TICK_INTERVAL_NANOS,
        () -> {
          if (holders.get(daemon) == holder) {
            holder.onTick(time.now());
            scheduleTick(daemon, holder);
          }
        });
  }

  private long nextSessionNumber() {
    lastSessionNumber += 1_000_000;
    return lastSessionNumber;
  }

  private void sendToRelay(String id, ShareMessage message) {
    ShareRelay relay = relays.get(Integer.parseInt(id));
    time.after(linkDelayNanos, () -> relay.onOwnerMessage(message, time.now()));
  }

  private void sendToHolder(String daemon, ShareMessage message) {
    ShareHolder holder = holders.get(daemon);
    time.after(
        LOCAL_DELAY_NANOS,
        () -> {
          if (holder != null && holders.get(daemon) == holder) {
            holder.onMessage(message, time.now());
          }
        });
  }

  /** Baseline: every daemon has an equal and fixed fraction of each account's rate and burst. */
  static final class StaticBuckets implements RateLimiter {
    private final VirtualTime time;
    private final Map<AccountId, TokenBucket> buckets = new HashMap<>();

    StaticBuckets(VirtualTime time, List<Account> accounts, int daemons) {
      this.time = time;
      for (Account account : accounts) {
        buckets.put(
            account.id(),
            new TokenBucket(
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
