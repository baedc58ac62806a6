package org.cornelspoke.state.config;

import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.KeyId;
import org.cornelspoke.util.Assert;

/**
 * A key of a client account. Only the hash of the key is stored.
 *
 * @param keyHashHex SHA-256 hash of the key in lower-case hexadecimal
 */
public record ClientKey(KeyId id, AccountId account, String keyHashHex) implements ConfigEntity {

  private static final int HASH_HEX_LENGTH = 64;

  /** Checks that all components are present and that the hash has the required length. */
  public ClientKey {
    Assert.notNull(id, "id");
    Assert.notNull(account, "account");
    Assert.isTrue(
        keyHashHex != null && keyHashHex.length() == HASH_HEX_LENGTH,
        "keyHashHex must have 64 hexadecimal digits");
  }

  @Override
  public EntityId entityId() {
    return new EntityId(EntityKind.CLIENT_KEY, id.value());
  }
}
