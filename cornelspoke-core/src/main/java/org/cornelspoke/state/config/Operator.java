package org.cornelspoke.state.config;

import org.cornelspoke.model.OperatorId;
import org.cornelspoke.util.Assert;

/**
 * A person or program that may change the configuration. Only the hash of its token is stored.
 *
 * @param tokenHashHex SHA-256 hash of the token in lower-case hexadecimal
 */
public record Operator(OperatorId id, String tokenHashHex) implements ConfigEntity {

  /** Checks that both components are present. */
  public Operator {
    Assert.notNull(id, "id");
    Assert.hasText(tokenHashHex, "tokenHashHex");
  }

  @Override
  public EntityId entityId() {
    return new EntityId(EntityKind.OPERATOR, id.value());
  }
}
