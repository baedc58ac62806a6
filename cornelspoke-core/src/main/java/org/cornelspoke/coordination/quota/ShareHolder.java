package org.cornelspoke.coordination.quota;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.cornelspoke.coordination.quota.ShareMessage.Grant;
import org.cornelspoke.coordination.quota.ShareMessage.Recall;
import org.cornelspoke.coordination.quota.ShareMessage.Reset;
import org.cornelspoke.coordination.quota.ShareMessage.TokenReply;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.util.Assert;

/**
 * Rate shares held by one daemon. It requests from the owner the capacity that its requests need,
 * admits nothing on an expired lease, and starts empty.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds of this process.
 */
public final class ShareHolder implements RateLimiter {

  private final ShareTimes times;
  private final Consumer<ShareMessage> toOwner;
  private final ReturnSchedule.Factory returnSchedules;
  private final Map<AccountId, HeldAccount> accounts = new HashMap<>();
  private boolean connected;
  private long connectionSession;

  /**
   * Creates a holder without shares.
   *
   * @param toOwner sends a message over the current connection, in order
   */
  public ShareHolder(ShareTimes times, Consumer<ShareMessage> toOwner) {
    this(times, toOwner, ReturnSchedule::none);
  }

  /**
   * Creates a holder without shares that schedules the retries of refused callers.
   *
   * @param toOwner sends a message over the current connection, in order
   * @param keepNanos time for which a token is reserved after its return time
   * @param counts counts the return times
   */
  public static ShareHolder withScheduledReturns(
      ShareTimes times, Consumer<ShareMessage> toOwner, long keepNanos, ReturnCounts counts) {
    return new ShareHolder(times, toOwner, () -> new TokenReturnSchedule(keepNanos, counts));
  }

  private ShareHolder(
      ShareTimes times, Consumer<ShareMessage> toOwner, ReturnSchedule.Factory returnSchedules) {
    this.returnSchedules = returnSchedules;
    this.times = Assert.notNull(times, "times");
    this.toOwner = Assert.notNull(toOwner, "toOwner");
  }

  /**
   * Opens a session with the same owner as before or another one.
   *
   * @param session a number greater than any that this holder has used, also before a restart, by
   *     more than the number of leases lost since; wall-clock microseconds are suitable
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

  /** Handles a message from the owner. */
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
    } else if (message instanceof TokenReply reply) {
      account.onTokenReply(reply, nowNanos);
    }
  }

  /**
   * Sends reports that are due and refuses requests that waited too long; called every few
   * milliseconds.
   */
  public void onTick(long nowNanos) {
    // A listener may start its caller's next request, which may add an account.
    for (HeldAccount account : List.copyOf(accounts.values())) {
      account.onTick(nowNanos);
    }
    for (Iterator<HeldAccount> iterator = accounts.values().iterator(); iterator.hasNext(); ) {
      HeldAccount account = iterator.next();
      if (account.isIdle(nowNanos)) {
        // A later session of this account must have a higher number.
        connectionSession = Math.max(connectionSession, account.nextSession());
        iterator.remove();
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
    acquire(account, trafficClass, deadlineNanos, CallerLimits.UNKNOWN, listener, nowNanos);
  }

  @Override
  public void acquire(
      AccountId account,
      TrafficClass trafficClass,
      long deadlineNanos,
      CallerLimits limits,
      Listener listener,
      long nowNanos) {
    Assert.notNull(trafficClass, "trafficClass");
    Assert.notNull(limits, "limits");
    Assert.notNull(account, "account");
    Assert.notNull(listener, "listener");
    accounts
        .computeIfAbsent(account, id -> newAccount(id, nowNanos))
        .acquire(trafficClass, deadlineNanos, limits, listener, nowNanos);
  }

  @Override
  public void returnToken(AccountId account, long grantedAtNanos, long nowNanos) {
    HeldAccount heldAccount = accounts.get(account);
    if (heldAccount != null) {
      heldAccount.returnToken(grantedAtNanos, nowNanos);
    }
  }

  @Override
  public TokenShare heldShare(AccountId account, long nowNanos) {
    HeldAccount heldAccount = accounts.get(account);
    return heldAccount == null ? TokenShare.EMPTY : heldAccount.heldShare(nowNanos);
  }

  private HeldAccount newAccount(AccountId id, long nowNanos) {
    HeldAccount account = new HeldAccount(id, times, toOwner, returnSchedules.create(), nowNanos);
    if (connected) {
      account.onConnected(connectionSession, nowNanos);
    }
    return account;
  }
}
