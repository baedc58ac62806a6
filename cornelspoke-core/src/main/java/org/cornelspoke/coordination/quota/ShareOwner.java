package org.cornelspoke.coordination.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.cornelspoke.coordination.quota.ShareMessage.Report;
import org.cornelspoke.coordination.quota.ShareMessage.Return;
import org.cornelspoke.coordination.quota.ShareMessage.UnrecordedShare;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.state.config.Account;
import org.cornelspoke.util.Assert;

/**
 * The leader's side of the rate shares: owns the whole bucket of each account and issues shares to
 * the relays. A new instance is created for each election.
 *
 * <p>It issues nothing during the quiet period after the election, in which it adopts the shares
 * that holders report, and sends nothing while its leadership is not confirmed. Together with the
 * leases this keeps an isolated former leader and its successor from issuing the same tokens.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds of this process.
 */
public final class ShareOwner {

  private final ShareTimes times;
  private final BiConsumer<String, ShareMessage> toHolder;
  private long quietPeriodEndNanos;
  private final long unrecordedShareEndNanos;
  private final Map<AccountId, OwnedAccount> accounts = new HashMap<>();
  private final Set<String> readyHolders = new HashSet<>();
  private long leadershipProvedAtNanos;

  private record OwnedAccount(TokenBucket spare, ShareAllocator allocator, Account account) {}

  /**
   * Creates the owner of a newly elected leader.
   *
   * @param toHolder sends a message to the holder with the given id, in order
   * @param electedAtNanos time of the election
   */
  public ShareOwner(
      ShareTimes times, BiConsumer<String, ShareMessage> toHolder, long electedAtNanos) {
    this.times = Assert.notNull(times, "times");
    this.toHolder = Assert.notNull(toHolder, "toHolder");
    quietPeriodEndNanos = electedAtNanos + times.quietPeriodNanos();
    unrecordedShareEndNanos = electedAtNanos + times.quietPeriodNanos();
    leadershipProvedAtNanos = electedAtNanos;
  }

  /**
   * Records that a majority confirmed the leadership.
   *
   * @param provedAtNanos time when the heartbeats that the majority answered were sent
   */
  public void confirmLeadership(long provedAtNanos) {
    if (provedAtNanos - leadershipProvedAtNanos > 0) {
      leadershipProvedAtNanos = provedAtNanos;
    }
  }

  /** Records that a daemon has reported, through its current relay, everything it holds. */
  public void onReady(String holder) {
    readyHolders.add(Assert.notNull(holder, "holder"));
  }

  /** Returns the given daemons that have not yet reported everything they hold to this owner. */
  public Set<String> unreadyHolders(Collection<String> holders) {
    Set<String> missing = new LinkedHashSet<>(holders);
    missing.removeAll(readyHolders);
    return missing;
  }

  /**
   * Ends the quiet period early if every daemon has reported what it holds, so that no share of an
   * earlier leader is unknown.
   *
   * @param holders all daemons that may hold a share
   */
  public void endQuietPeriodIfReady(Collection<String> holders, long nowNanos) {
    if (isInQuietPeriod(nowNanos) && unreadyHolders(holders).isEmpty()) {
      quietPeriodEndNanos = nowNanos;
    }
  }

  /** Sets the configured accounts. A lower rate or burst takes effect by recall. */
  public void setAccounts(Collection<Account> configured, long nowNanos) {
    Set<AccountId> present = new HashSet<>();
    for (Account account : configured) {
      present.add(account.id());
      OwnedAccount owned = owned(account.id(), nowNanos);
      accounts.put(account.id(), new OwnedAccount(owned.spare(), owned.allocator(), account));
    }
    accounts.replaceAll(
        (id, owned) ->
            present.contains(id)
                ? owned
                : new OwnedAccount(owned.spare(), owned.allocator(), null));
    onTick(nowNanos);
  }

  /** Handles a message from a holder. */
  public void onMessage(String holder, ShareMessage message, long nowNanos) {
    Assert.notNull(holder, "holder");
    OwnedAccount owned = owned(message.account(), nowNanos);
    if (message instanceof UnrecordedShare unrecorded) {
      // No lease of an earlier leader outlasts the regular quiet period.
      if (nowNanos - unrecordedShareEndNanos < 0) {
        owned
            .allocator()
            .onUnrecordedShare(unrecorded.share(), unrecorded.remainingLeaseNanos(), nowNanos);
      }
      return;
    }
    if (!isLeadershipProved(nowNanos)) {
      if (message instanceof Return returned) {
        owned.allocator().onReturn(holder, returned, nowNanos);
      }
      return;
    }
    prepare(owned, nowNanos);
    if (message instanceof Report report) {
      owned.allocator().onReport(holder, report, isInQuietPeriod(nowNanos), nowNanos);
    } else if (message instanceof Return returned) {
      owned.allocator().onReturn(holder, returned, nowNanos);
    }
    serve(owned, nowNanos);
  }

  /** Reissues lost shares and serves waiting holders; called every few milliseconds. */
  public void onTick(long nowNanos) {
    if (!isLeadershipProved(nowNanos)) {
      return;
    }
    for (Iterator<OwnedAccount> iterator = accounts.values().iterator(); iterator.hasNext(); ) {
      OwnedAccount owned = iterator.next();
      prepare(owned, nowNanos);
      serve(owned, nowNanos);
      if (owned.account() == null && owned.allocator().isEmpty()) {
        iterator.remove();
      }
    }
  }

  private boolean isLeadershipProved(long nowNanos) {
    return nowNanos - leadershipProvedAtNanos < times.proofValidityNanos();
  }

  /** Returns true while nothing is issued because shares of an earlier leader may be unknown. */
  public boolean isInQuietPeriod(long nowNanos) {
    return nowNanos - quietPeriodEndNanos < 0;
  }

  private void prepare(OwnedAccount owned, long nowNanos) {
    owned.allocator().releaseExpired(nowNanos);
    if (!isInQuietPeriod(nowNanos)) {
      Account account = owned.account();
      owned
          .allocator()
          .adjustTotals(
              account == null ? 0 : account.rateTokensPerSecond(),
              account == null ? 0 : account.burstTokens(),
              nowNanos);
    }
  }

  private void serve(OwnedAccount owned, long nowNanos) {
    if (!isInQuietPeriod(nowNanos)) {
      owned.allocator().serveWaiting(nowNanos);
    }
  }

  private OwnedAccount owned(AccountId id, long nowNanos) {
    return accounts.computeIfAbsent(
        id,
        account -> {
          TokenBucket spare = new TokenBucket(nowNanos);
          return new OwnedAccount(
              spare,
              new ShareAllocator(
                  account,
                  spare,
                  toHolder,
                  now -> times.leaseNanos(),
                  ShareAllocator::exhaustionByBacklog,
                  times,
                  nowNanos),
              null);
        });
  }
}
