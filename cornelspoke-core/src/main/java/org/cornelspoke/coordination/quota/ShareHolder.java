package org.cornelspoke.coordination.quota;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.cornelspoke.coordination.quota.ShareMessage.Grant;
import org.cornelspoke.coordination.quota.ShareMessage.Recall;
import org.cornelspoke.coordination.quota.ShareMessage.Reset;
import org.cornelspoke.coordination.quota.ShareMessage.Tokens;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.util.Assert;

/**
 * The rate shares of one daemon. It asks the owner for what its requests need, admits nothing after
 * a lease has ended, and starts empty.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds of this process.
 */
public final class ShareHolder implements RateLimiter {

  private final ShareTimes times;
  private final Consumer<ShareMessage> toOwner;
  private final Map<AccountId, HeldAccount> accounts = new HashMap<>();
  private boolean connected;
  private long connectionSession;

  /**
   * Creates a holder of nothing.
   *
   * @param toOwner sends a message over the present connection, in order
   */
  public ShareHolder(ShareTimes times, Consumer<ShareMessage> toOwner) {
    this.times = Assert.notNull(times, "times");
    this.toOwner = Assert.notNull(toOwner, "toOwner");
  }

  /**
   * Opens a session with an owner, the same as before or another one.
   *
   * @param session a number greater than any that this holder used before, also before a restart,
   *     and by more than the number of leases lost since; wall-clock microseconds will do
   */
  public void onConnected(long session, long nowNanos) {
    connected = true;
    connectionSession = session;
    for (HeldAccount account : accounts.values()) {
      account.onConnected(session, nowNanos);
    }
  }

  /** Ends the session; shares stay usable until their leases end. */
  public void onDisconnected(long nowNanos) {
    connected = false;
    accounts.values().forEach(HeldAccount::onDisconnected);
  }

  /** Takes a message of the owner. */
  public void onMessage(ShareMessage message, long nowNanos) {
    HeldAccount account = accounts.get(message.account());
    if (account == null) {
      return;
    }
    if (message instanceof Grant grant) {
      account.onGrant(grant, nowNanos);
    } else if (message instanceof Recall recall) {
      account.onRecall(recall, nowNanos);
    } else if (message instanceof Reset reset) {
      account.onReset(reset, nowNanos);
    } else if (message instanceof Tokens tokens) {
      account.onTokens(tokens, nowNanos);
    }
  }

  /** Sends reports that are due and refuses requests that waited too long; every few ms. */
  public void onTick(long nowNanos) {
    // Listeners may start the next request of their caller, which may bring a new account.
    for (HeldAccount account : List.copyOf(accounts.values())) {
      account.onTick(nowNanos);
    }
    for (Iterator<HeldAccount> all = accounts.values().iterator(); all.hasNext(); ) {
      HeldAccount account = all.next();
      if (account.isIdle(nowNanos)) {
        // The session number of a later start must be higher.
        connectionSession = Math.max(connectionSession, account.nextSession());
        all.remove();
      }
    }
  }

  /** Treats the request as {@link TrafficClass#INTERACTIVE}. */
  @Override
  public void acquire(AccountId account, long deadlineNanos, Listener listener, long nowNanos) {
    acquire(account, TrafficClass.INTERACTIVE, deadlineNanos, listener, nowNanos);
  }

  @Override
  public void acquire(
      AccountId account,
      TrafficClass trafficClass,
      long deadlineNanos,
      Listener listener,
      long nowNanos) {
    Assert.notNull(trafficClass, "trafficClass");
    Assert.notNull(account, "account");
    Assert.notNull(listener, "listener");
    accounts
        .computeIfAbsent(account, id -> newAccount(id, nowNanos))
        .acquire(trafficClass, deadlineNanos, listener, nowNanos);
  }

  @Override
  public void giveBack(AccountId account, long takenNanos, long nowNanos) {
    HeldAccount held = accounts.get(account);
    if (held != null) {
      held.giveBack(takenNanos, nowNanos);
    }
  }

  @Override
  public TokenShare held(AccountId account, long nowNanos) {
    HeldAccount held = accounts.get(account);
    return held == null ? TokenShare.EMPTY : held.held(nowNanos);
  }

  private HeldAccount newAccount(AccountId id, long nowNanos) {
    HeldAccount account = new HeldAccount(id, times, toOwner, nowNanos);
    if (connected) {
      account.onConnected(connectionSession, nowNanos);
    }
    return account;
  }
}
