package org.cornelspoke.coordination.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.cornelspoke.coordination.quota.ShareMessage.Carried;
import org.cornelspoke.coordination.quota.ShareMessage.Report;
import org.cornelspoke.coordination.quota.ShareMessage.Return;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.state.config.Account;
import org.cornelspoke.util.Assert;

/**
 * The leader's side of the rate shares: owns the whole bucket of each account and issues shares to
 * the relays. A new object is created at each election.
 *
 * <p>It issues nothing for the quiet time after the election, in which it adopts what holders
 * report, and it answers nothing while its leadership is not proved. Together with the leases this
 * keeps an isolated former leader and its successor from issuing the same tokens.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds of this process.
 */
public final class ShareOwner {

  private final ShareTimes times;
  private final BiConsumer<String, ShareMessage> out;
  private long quietUntilNanos;
  private final long carriedUntilNanos;
  private final Map<AccountId, OwnedAccount> accounts = new HashMap<>();
  private final Set<String> readyHolders = new HashSet<>();
  private long provedAsOfNanos;

  private record OwnedAccount(TokenBucket spare, ShareBook book, Account account) {}

  /**
   * Creates the owner of a newly elected leader.
   *
   * @param out sends a message to the holder with the given id, in order
   * @param electedNanos time of the election
   */
  public ShareOwner(ShareTimes times, BiConsumer<String, ShareMessage> out, long electedNanos) {
    this.times = Assert.notNull(times, "times");
    this.out = Assert.notNull(out, "out");
    quietUntilNanos = electedNanos + times.quietNanos();
    carriedUntilNanos = electedNanos + times.quietNanos();
    provedAsOfNanos = electedNanos;
  }

  /**
   * Records that a majority confirmed the leadership.
   *
   * @param asOfNanos time when the heartbeats that the majority answered were sent
   */
  public void confirmLeadership(long asOfNanos) {
    if (asOfNanos - provedAsOfNanos > 0) {
      provedAsOfNanos = asOfNanos;
    }
  }

  /** Notes that a daemon has told, through its present relay, all that it holds. */
  public void onReady(String holder) {
    readyHolders.add(Assert.notNull(holder, "holder"));
  }

  /** Returns the daemons among those given that have not told this owner what they hold. */
  public Set<String> notReady(Collection<String> holders) {
    Set<String> missing = new LinkedHashSet<>(holders);
    missing.removeAll(readyHolders);
    return missing;
  }

  /**
   * Ends the quiet time early if every daemon has told what it holds, so that no share of an
   * earlier leader is unknown.
   *
   * @param holders all daemons that may hold a share
   */
  public void endQuietIfReady(Collection<String> holders, long nowNanos) {
    if (isQuiet(nowNanos) && notReady(holders).isEmpty()) {
      quietUntilNanos = nowNanos;
    }
  }

  /** Sets the configured accounts. A lower rate or burst takes effect by recall. */
  public void setAccounts(Collection<Account> configured, long nowNanos) {
    Set<AccountId> present = new HashSet<>();
    for (Account account : configured) {
      present.add(account.id());
      OwnedAccount owned = owned(account.id(), nowNanos);
      accounts.put(account.id(), new OwnedAccount(owned.spare(), owned.book(), account));
    }
    accounts.replaceAll(
        (id, owned) ->
            present.contains(id) ? owned : new OwnedAccount(owned.spare(), owned.book(), null));
    onTick(nowNanos);
  }

  /** Takes a message of a holder. */
  public void onMessage(String holder, ShareMessage message, long nowNanos) {
    Assert.notNull(holder, "holder");
    OwnedAccount owned = owned(message.account(), nowNanos);
    if (message instanceof Carried carried) {
      // No lease of an earlier leader lasts longer.
      if (nowNanos - carriedUntilNanos < 0) {
        owned.book().onCarried(carried.share(), carried.leaseLeftNanos(), nowNanos);
      }
      return;
    }
    if (!isProved(nowNanos)) {
      if (message instanceof Return returned) {
        owned.book().onReturn(holder, returned, nowNanos);
      }
      return;
    }
    prepare(owned, nowNanos);
    if (message instanceof Report report) {
      owned.book().onReport(holder, report, isQuiet(nowNanos), nowNanos);
    } else if (message instanceof Return returned) {
      owned.book().onReturn(holder, returned, nowNanos);
    }
    serve(owned, nowNanos);
  }

  /** Reissues lost shares and serves waiting holders; called every few milliseconds. */
  public void onTick(long nowNanos) {
    if (!isProved(nowNanos)) {
      return;
    }
    for (Iterator<OwnedAccount> all = accounts.values().iterator(); all.hasNext(); ) {
      OwnedAccount owned = all.next();
      prepare(owned, nowNanos);
      serve(owned, nowNanos);
      if (owned.account() == null && owned.book().isEmpty()) {
        all.remove();
      }
    }
  }

  private boolean isProved(long nowNanos) {
    return nowNanos - provedAsOfNanos < times.proofNanos();
  }

  /** Returns true while nothing is issued because shares of an earlier leader may be unknown. */
  public boolean isQuiet(long nowNanos) {
    return nowNanos - quietUntilNanos < 0;
  }

  private void prepare(OwnedAccount owned, long nowNanos) {
    owned.book().releaseExpired(nowNanos);
    if (!isQuiet(nowNanos)) {
      Account account = owned.account();
      owned
          .book()
          .settle(
              account == null ? 0 : account.rateTokensPerSecond(),
              account == null ? 0 : account.burstTokens(),
              nowNanos);
    }
  }

  private void serve(OwnedAccount owned, long nowNanos) {
    if (!isQuiet(nowNanos)) {
      owned.book().serveWaiting(nowNanos);
    }
  }

  private OwnedAccount owned(AccountId id, long nowNanos) {
    return accounts.computeIfAbsent(
        id,
        account -> {
          TokenBucket spare = new TokenBucket(nowNanos);
          return new OwnedAccount(
              spare,
              new ShareBook(
                  account,
                  spare,
                  out,
                  now -> times.leaseNanos(),
                  ShareBook::exhaustedByWaiting,
                  times,
                  nowNanos),
              null);
        });
  }
}
