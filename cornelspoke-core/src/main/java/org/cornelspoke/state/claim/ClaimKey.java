package org.cornelspoke.state.claim;

import org.cornelspoke.model.AccountId;
import org.cornelspoke.util.Assert;

/**
 * Key of a claim: the account and the SHA-256 hash of the caller's {@code Idempotency-Key} in
 * hexadecimal.
 */
public record ClaimKey(AccountId account, String idempotencyKeyHashHex) {

  /** Checks that both components are present. */
  public ClaimKey {
    Assert.notNull(account, "account");
    Assert.hasText(idempotencyKeyHashHex, "idempotencyKeyHashHex");
  }
}
