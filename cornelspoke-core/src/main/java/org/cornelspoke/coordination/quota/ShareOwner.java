package org.cornelspoke.coordination.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
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
 * that holders report, and sends nothing while its leadership is not confirmed. Nor does it renew
 * what it adopts while a former leader may still issue shares. Together with the leases this keeps
 * an isolated former leader and its successor from issuing the same tokens.
 *
 * <p>Not safe for use by several threads. Times are monotonic nanoseconds of this process.
 */
public final class ShareOwner {

  private final ShareTimes times;
  private final BiConsumer<String, ShareMessage> toHolder;
  private final RecoveryPeriod recovery;
  private final long unrecordedShareEndNanos;
  private final Map<AccountId, OwnedAccount> accounts = new HashMap<>();
  private final Map<String, Long> heardAtNanos = new HashMap<>();
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
    recovery =
        new RecoveryPeriod(
            electedAtNanos + ShareTimes.expiryNanos(times.proofValidityNanos()),
            electedAtNanos + times.quietPeriodNanos());
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
    recovery.onHolderReady(holder);
  }

  /** Returns the given daemons that have not yet reported everything they hold to this owner. */
  public Set<String> unreadyHolders(Collection<String> holders) {
    return recovery.unreadyHolders(holders);
  }

  /**
   * Ends the quiet period early if every daemon has reported what it holds, so that no share of an
   * earlier leader is unknown.
   *
   * @param holders all daemons that may hold a share
   */
  public void endQuietPeriodIfReady(Collection<String> holders, long nowNanos) {
    recovery.endIfHoldersReady(holders, nowNanos);
  }

  /**
   * Records that a relay has reported, in its current session, everything it holds and has issued.
   *
   * @param unknownNanos time for which daemons may still hold shares that the relay has issued and
   *     forgotten, by the clock of the relay
   */
  public void onRelayReady(String relay, long unknownNanos, long nowNanos) {
    recovery.onRelayReady(relay, unknownNanos, nowNanos);
  }

  /** Returns the given relays that have not reported, or whose former shares may be unknown. */
  public Set<String> incompleteRelays(Collection<String> relays, long nowNanos) {
    return recovery.incompleteRelays(relays, nowNanos);
  }

  /**
   * Ends the quiet period early if every relay has reported what it holds, whether or not every
   * daemon has.
   *
   * @param relays all relays that may hold or have issued shares
   */
  public void endQuietPeriodIfRelaysComplete(Collection<String> relays, long nowNanos) {
    recovery.endIfRelaysComplete(relays, nowNanos);
  }

  /** Returns the rate, over all accounts, that is configured but not known to be held. */
  public double withheldRatePerSecond(long nowNanos) {
    double withheld = 0;
    if (isInQuietPeriod(nowNanos)) {
      for (OwnedAccount owned : accounts.values()) {
        if (owned.account() != null) {
          withheld += Math.max(0, owned.account().rateTokensPerSecond() - owned.allocator().rate());
        }
      }
    }
    return withheld;
  }

  /**
   * Returns what counts as issued to relays that have sent nothing for the given time, by relay.
   * Cheap while no relay has become silent within the last leases.
   */
  public Map<String, IssuedShares> sharesAtSilentRelays(long silentNanos, long nowNanos) {
    heardAtNanos
        .values()
        .removeIf(heard -> nowNanos - heard >= silentNanos + 2 * times.leaseNanos());
    Map<String, IssuedShares> totals = new TreeMap<>();
    if (heardAtNanos.values().stream().anyMatch(heard -> nowNanos - heard >= silentNanos)) {
      accounts.values().forEach(owned -> owned.allocator().addIssuedShares(totals));
      totals
          .keySet()
          .removeIf(relay -> nowNanos - heardAtNanos.getOrDefault(relay, nowNanos) < silentNanos);
    }
    return totals;
  }

  /** Returns the rate of all configured accounts. */
  public double configuredRatePerSecond() {
    return accounts.values().stream()
        .filter(owned -> owned.account() != null)
        .mapToDouble(owned -> owned.account().rateTokensPerSecond())
        .sum();
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
    heardAtNanos.put(Assert.notNull(holder, "holder"), nowNanos);
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
      } else {
        recovery.onReportMissed();
      }
      return;
    }
    prepare(owned, nowNanos);
    if (message instanceof Report report) {
      boolean adopting = isInQuietPeriod(nowNanos);
      if (!owned.allocator().onReport(holder, report, adopting, nowNanos) && adopting) {
        recovery.onReportMissed();
      }
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
    return recovery.isActive(nowNanos);
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
                  now -> recovery.mayRenew(now) ? times.leaseNanos() : 0,
                  ShareAllocator::exhaustionByBacklog,
                  times,
                  nowNanos),
              null);
        });
  }
}
