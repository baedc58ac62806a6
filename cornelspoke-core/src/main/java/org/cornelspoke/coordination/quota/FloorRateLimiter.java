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
 * Gives each daemon a small part of every account's rate without any lease, and takes the rest from
 * another limiter. A daemon that has no share, because it has just started or the control group is
 * gone, so still serves every account a little.
 *
 * <p>Answers outages of the control group and restarts of whole fleets. The floors of all daemons
 * together exceed the account's rate by the floor part; a deployment must allow that overage. Not
 * safe for use by several threads.
 */
public final class FloorRateLimiter implements RateLimiter {

  /** A floor holds one token, so that an idle fleet can't admit a burst on top of the shares. */
  private static final double FLOOR_BURST_TOKENS = 1;

  /**
   * Largest fleet with floors. The floors of more daemons would together hold more tokens than the
   * fixed slack of a deployment.
   */
  public static final int MAX_DAEMONS_WITH_FLOOR = 20;

  private final RateLimiter shares;
  private final Supplier<FleetView> views;
  private final double floorPart;
  private final Map<AccountId, TokenBucket> floors = new HashMap<>();
  private FleetView applied = FleetView.EMPTY;
  private int mostDaemons;

  /**
   * Creates a limiter without floors.
   *
   * @param shares what serves the requests above the floor
   * @param views the present configuration and targets
   * @param floorPart part of an account's rate that the floors of all daemons add up to
   */
  public FloorRateLimiter(RateLimiter shares, Supplier<FleetView> views, double floorPart) {
    Assert.isTrue(floorPart >= 0 && floorPart < 1, "floorPart must be at least 0 and below 1");
    this.shares = Assert.notNull(shares, "shares");
    this.views = Assert.notNull(views, "views");
    this.floorPart = floorPart;
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
    follow(views.get(), nowNanos);
    TokenBucket floor = floors.get(account);
    if (floor != null && floor.tryTake(nowNanos)) {
      listener.onGranted();
    } else {
      shares.acquire(account, trafficClass, deadlineNanos, listener, nowNanos);
    }
  }

  @Override
  public void giveBack(AccountId account, long takenNanos, long nowNanos) {
    shares.giveBack(account, takenNanos, nowNanos);
  }

  @Override
  public TokenShare held(AccountId account, long nowNanos) {
    TokenShare share = shares.held(account, nowNanos);
    TokenBucket floor = floors.get(account);
    return floor == null ? share : share.merge(floor.share(nowNanos));
  }

  /** Floors only shrink with the number of daemons: one that is gone for a moment keeps its own. */
  private void follow(FleetView view, long nowNanos) {
    if (view == applied) {
      return;
    }
    applied = view;
    long daemons =
        view.targets().values().stream()
            .flatMap(targets -> targets.stream().map(target -> target.daemon()))
            .distinct()
            .count();
    mostDaemons = Math.max(mostDaemons, (int) daemons);
    Map<AccountId, TokenBucket> former = new HashMap<>(floors);
    floors.clear();
    if (mostDaemons == 0 || mostDaemons > MAX_DAEMONS_WITH_FLOOR) {
      return;
    }
    for (Account account : view.accounts()) {
      TokenBucket floor = former.getOrDefault(account.id(), new TokenBucket(nowNanos));
      double level = floor.level(nowNanos);
      floor.clear(nowNanos);
      floor.add(
          new TokenShare(
              account.rateTokensPerSecond() * floorPart / mostDaemons, FLOOR_BURST_TOKENS, level),
          nowNanos);
      floors.put(account.id(), floor);
    }
  }
}
