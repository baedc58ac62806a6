package org.cornelspoke.coordination.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.Account;
import org.cornelspoke.state.view.FleetView;
import org.cornelspoke.util.Assert;

/**
 * Gives each daemon a small fraction of every account's rate without a lease, and takes the rest
 * from another limiter. A daemon without shares, because it has just started or the control group
 * is unavailable, can thus still serve every account at a low rate.
 *
 * <p>This covers outages of the control group and restarts of whole fleets. The floors of all
 * daemons together exceed the account's rate by the floor fraction; a deployment must allow that
 * overage. Not safe for use by several threads.
 */
public final class FloorRateLimiter implements RateLimiter {

  /** A floor holds one token, so that an idle fleet can't admit a burst on top of the shares. */
  private static final double FLOOR_BURST_TOKENS = 1;

  /**
   * Largest fleet with floors. The floors of more daemons would together hold more tokens than the
   * fixed overage allowance of a deployment.
   */
  public static final int MAX_DAEMONS_WITH_FLOOR = 20;

  private final RateLimiter shares;
  private final Supplier<FleetView> views;
  private final double floorFraction;
  private final Map<AccountId, TokenBucket> floors = new HashMap<>();
  private FleetView appliedView = FleetView.EMPTY;
  private int maxDaemonCount;

  /**
   * Creates a limiter that sets up floors from the first view.
   *
   * @param shares limiter for requests above the floor
   * @param views supplies the current configuration and targets
   * @param floorFraction sum of the floors of all daemons as a fraction of an account's rate
   */
  public FloorRateLimiter(RateLimiter shares, Supplier<FleetView> views, double floorFraction) {
    Assert.isTrue(
        floorFraction >= 0 && floorFraction < 1, "floorFraction must be at least 0 and below 1");
    this.shares = Assert.notNull(shares, "shares");
    this.views = Assert.notNull(views, "views");
    this.floorFraction = floorFraction;
  }

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
    applyView(views.get(), nowNanos);
    TokenBucket floor = floors.get(account);
    if (floor != null && floor.tryTake(nowNanos)) {
      listener.onGranted();
    } else {
      shares.acquire(account, trafficClass, deadlineNanos, limits, listener, nowNanos);
    }
  }

  @Override
  public void returnToken(AccountId account, long grantedAtNanos, long nowNanos) {
    shares.returnToken(account, grantedAtNanos, nowNanos);
  }

  @Override
  public TokenShare heldShare(AccountId account, long nowNanos) {
    TokenShare share = shares.heldShare(account, nowNanos);
    TokenBucket floor = floors.get(account);
    return floor == null ? share : share.merge(floor.snapshot(nowNanos));
  }

  /**
   * Applies a new view. Floors are sized for the largest number of daemons seen, because a daemon
   * that is missing for a moment keeps its own floor.
   */
  private void applyView(FleetView view, long nowNanos) {
    if (view == appliedView) {
      return;
    }
    appliedView = view;
    long daemonCount =
        view.targets().values().stream()
            .flatMap(targets -> targets.stream().map(target -> target.daemon()))
            .distinct()
            .count();
    maxDaemonCount = Math.max(maxDaemonCount, (int) daemonCount);
    Map<AccountId, TokenBucket> previousFloors = new HashMap<>(floors);
    floors.clear();
    if (maxDaemonCount == 0 || maxDaemonCount > MAX_DAEMONS_WITH_FLOOR) {
      return;
    }
    for (Account account : view.accounts()) {
      TokenBucket floor = previousFloors.getOrDefault(account.id(), new TokenBucket(nowNanos));
      double level = floor.level(nowNanos);
      floor.clear(nowNanos);
      floor.add(
          new TokenShare(
              account.rateTokensPerSecond() * floorFraction / maxDaemonCount,
              FLOOR_BURST_TOKENS,
              level),
          nowNanos);
      floors.put(account.id(), floor);
    }
  }
}
