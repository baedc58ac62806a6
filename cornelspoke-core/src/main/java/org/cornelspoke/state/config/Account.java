package org.cornelspoke.state.config;

import org.cornelspoke.model.AccountId;
import org.cornelspoke.util.Assert;

/**
 * A client account with its fleet-wide limits.
 *
 * @param rateTokensPerSecond sustained requests per second, summed over all daemons
 * @param burstTokens maximum burst of requests, summed over all daemons
 * @param weight weight of the account in fair queueing, relative to other accounts
 */
public record Account(AccountId id, double rateTokensPerSecond, double burstTokens, int weight)
    implements ConfigEntity {

  /** Rate in requests per second from which an account counts as unlimited. */
  public static final double UNLIMITED_TOKENS_PER_SECOND = 1e9;

  /** Checks the limits. */
  public Account {
    Assert.notNull(id, "id");
    Assert.isTrue(
        rateTokensPerSecond > 0 && Double.isFinite(rateTokensPerSecond),
        "rateTokensPerSecond must be a positive number");
    Assert.isTrue(
        burstTokens >= 1 && Double.isFinite(burstTokens), "burstTokens must be 1 or more");
    Assert.isTrue(weight >= 1, "weight must be 1 or more");
  }

  /** Returns true if the account has a rate limit. */
  public boolean isLimited() {
    return rateTokensPerSecond < UNLIMITED_TOKENS_PER_SECOND;
  }

  @Override
  public EntityId entityId() {
    return new EntityId(EntityKind.ACCOUNT, id.value());
  }
}
