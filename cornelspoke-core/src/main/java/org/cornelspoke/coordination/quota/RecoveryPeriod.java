package org.cornelspoke.coordination.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.cornelspoke.util.Assert;

/**
 * Decides how long a new owner withholds the rates of all accounts, because shares of an earlier
 * leader may be held that the owner does not know.
 *
 * <p>It addresses restarts of a whole fleet and leader changes while some daemons never report. The
 * period ends when the first of these holds:
 *
 * <ul>
 *   <li>all leases of earlier leaders have ended;
 *   <li>all registered daemons have reported everything that they hold;
 *   <li>all relays have reported everything that they hold and have issued, and the leases of the
 *       daemons whose shares a relay no longer knows have ended. Shares exist at relays and daemons
 *       only, so none is unknown then, whichever daemons are missing.
 * </ul>
 */
final class RecoveryPeriod {

  private final long formerLeaderEndNanos;
  private long endNanos;
  private final Set<String> readyHolders = new HashSet<>();
  private final Map<String, Long> relayCompleteAtNanos = new HashMap<>();
  private boolean reportMissed;

  /**
   * Creates the period of a new owner.
   *
   * @param formerLeaderEndNanos time from which no former leader issues or renews shares
   * @param endNanos time from which no share of a former leader is held
   */
  RecoveryPeriod(long formerLeaderEndNanos, long endNanos) {
    this.formerLeaderEndNanos = formerLeaderEndNanos;
    this.endNanos = endNanos;
  }

  void onHolderReady(String holder) {
    readyHolders.add(Assert.notNull(holder, "holder"));
  }

  /**
   * Records that a relay has reported everything it holds.
   *
   * @param unknownNanos time for which daemons may still hold shares that this relay has issued and
   *     forgotten, by the clock of the relay
   */
  void onRelayReady(String relay, long unknownNanos, long nowNanos) {
    relayCompleteAtNanos.put(
        Assert.notNull(relay, "relay"), nowNanos + ShareTimes.expiryNanos(unknownNanos));
  }

  /**
   * Records that a relay's report was dropped or not adopted. The statements of relays are then
   * incomplete, and only the time ends the period.
   */
  void onReportMissed() {
    reportMissed = true;
  }

  Set<String> unreadyHolders(Collection<String> holders) {
    Set<String> missing = new LinkedHashSet<>(holders);
    missing.removeAll(readyHolders);
    return missing;
  }

  /** Returns the relays that have not reported, or have issued shares that may be unknown. */
  Set<String> incompleteRelays(Collection<String> relays, long nowNanos) {
    Set<String> missing = new LinkedHashSet<>(relays);
    missing.removeIf(
        relay -> {
          Long completeAtNanos = relayCompleteAtNanos.get(relay);
          return completeAtNanos != null && nowNanos - completeAtNanos >= 0;
        });
    return missing;
  }

  void endIfHoldersReady(Collection<String> holders, long nowNanos) {
    if (isActive(nowNanos) && !reportMissed && unreadyHolders(holders).isEmpty()) {
      endNanos = nowNanos;
    }
  }

  void endIfRelaysComplete(Collection<String> relays, long nowNanos) {
    if (isActive(nowNanos)
        && !reportMissed
        && !relays.isEmpty()
        && incompleteRelays(relays, nowNanos).isEmpty()) {
      endNanos = nowNanos;
    }
  }

  /**
   * Returns whether adopted shares may be renewed. The former leader may just have ended its own
   * period and issued again what a relay, out of its reach, still holds from the leader before it.
   * If this owner renewed that share, both would be in use; the share's own lease ends before the
   * former leader issues it again.
   */
  boolean mayRenew(long nowNanos) {
    return !isActive(nowNanos) || nowNanos - formerLeaderEndNanos >= 0;
  }

  boolean isActive(long nowNanos) {
    return nowNanos - endNanos < 0;
  }
}
