package org.cornelspoke.coordination.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.cornelspoke.coordination.quota.ShareMessage.Grant;
import org.cornelspoke.coordination.quota.ShareMessage.Recall;
import org.cornelspoke.coordination.quota.ShareMessage.Report;
import org.cornelspoke.coordination.quota.ShareMessage.Reset;
import org.cornelspoke.coordination.quota.ShareMessage.Return;
import org.cornelspoke.coordination.quota.ShareMessage.TokenRequest;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.util.Assert;

/**
 * The middle level of the rate shares: a holder toward the leader and an owner toward the daemons
 * of its relay. No lease that it issues outlasts its own.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds of this process.
 */
public final class ShareRelay {

  private final ShareTimes times;
  private final Consumer<ShareMessage> toOwner;
  private final BiConsumer<String, ShareMessage> toHolder;
  private final Map<AccountId, RelayedAccount> accounts = new HashMap<>();
  private boolean connected;
  private long connectionSession;
  private boolean started;
  private long unknownSharesEndNanos;

  /**
   * Creates a relay without shares.
   *
   * @param toOwner sends a message to the leader over the current connection, in order
   * @param toHolder sends a message to the daemon with the given id, in order
   */
  public ShareRelay(
      ShareTimes times, Consumer<ShareMessage> toOwner, BiConsumer<String, ShareMessage> toHolder) {
    this.times = Assert.notNull(times, "times");
    this.toOwner = Assert.notNull(toOwner, "toOwner");
    this.toHolder = Assert.notNull(toHolder, "toHolder");
  }

  /**
   * States that no former process of this relay issues shares any more. Without this call, daemons
   * count as holding shares of a former process for ever.
   *
   * @param formerLeaseNanos longest lease of a share that a former process has issued
   */
  public void start(long formerLeaseNanos, long nowNanos) {
    started = true;
    unknownSharesEndNanos = nowNanos;
    markSharesUnknown(formerLeaseNanos, nowNanos);
  }

  private void markSharesUnknown(long leaseNanos, long nowNanos) {
    long endNanos = nowNanos + ShareTimes.expiryNanos(leaseNanos);
    if (endNanos - unknownSharesEndNanos > 0) {
      unknownSharesEndNanos = endNanos;
    }
  }

  /**
   * Returns how much longer daemons may hold shares that this relay has issued and does not report.
   */
  public long unknownSharesNanos(long nowNanos) {
    return started ? Math.max(0, unknownSharesEndNanos - nowNanos) : times.quietPeriodNanos();
  }

  /**
   * Opens a session with a leader.
   *
   * @param session as for {@link ShareHolder#onConnected}
   */
  public void onConnected(long session, long nowNanos) {
    connected = true;
    connectionSession = session;
    accounts.values().forEach(account -> account.onConnected(session, nowNanos));
  }

  /** Ends the session with the leader; issued shares stay usable until their leases end. */
  public void onDisconnected(long nowNanos) {
    connected = false;
    accounts.values().forEach(RelayedAccount::onDisconnected);
  }

  /** Handles a message from the leader. */
  public void onOwnerMessage(ShareMessage message, long nowNanos) {
    RelayedAccount account = accounts.get(message.account());
    if (account == null) {
      return;
    }
    if (message instanceof Grant grant) {
      account.onGrant(grant, nowNanos);
    } else if (message instanceof Recall recall) {
      account.onRecall(recall, nowNanos);
    } else if (message instanceof Reset reset) {
      if (account.onReset(reset, nowNanos)) {
        markSharesUnknown(times.daemonLeaseNanos(), nowNanos);
      }
    }
  }

  /** Handles a message from a daemon as it arrives. */
  public void onHolderMessage(String holder, ShareMessage message, long nowNanos) {
    onHolderMessage(holder, message, nowNanos, nowNanos);
  }

  /**
   * Handles a message from a daemon that arrived at the given time. A token request whose requests
   * have meanwhile reached their deadline is ignored, as its tokens would lapse.
   */
  public void onHolderMessage(
      String holder, ShareMessage message, long arrivedAtNanos, long nowNanos) {
    Assert.notNull(holder, "holder");
    if (message instanceof TokenRequest
        && nowNanos - arrivedAtNanos >= times.tokenRequestRetentionNanos()) {
      return;
    }
    RelayedAccount account =
        accounts.computeIfAbsent(message.account(), id -> newAccount(id, nowNanos));
    if (message instanceof Report report) {
      account.onReport(holder, report, nowNanos);
    } else if (message instanceof Return returned) {
      account.onReturn(holder, returned, nowNanos);
    } else if (message instanceof TokenRequest request) {
      account.onTokenRequest(holder, request, nowNanos);
    }
  }

  /** Renews leases and serves waiting daemons; called every few milliseconds. */
  public void onTick(long nowNanos) {
    accounts.values().forEach(account -> account.onTick(nowNanos));
    accounts
        .values()
        .removeIf(
            account -> {
              boolean idle = account.isIdle(nowNanos);
              if (idle) {
                connectionSession = Math.max(connectionSession, account.nextSession());
              }
              return idle;
            });
  }

  private RelayedAccount newAccount(AccountId id, long nowNanos) {
    RelayedAccount account = new RelayedAccount(id, times, toOwner, toHolder, nowNanos);
    if (connected) {
      account.onConnected(connectionSession, nowNanos);
    }
    return account;
  }
}
