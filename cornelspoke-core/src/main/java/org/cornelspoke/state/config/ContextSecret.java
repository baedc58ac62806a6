package org.cornelspoke.state.config;

import org.cornelspoke.util.Assert;

/**
 * Secret with which call contexts are signed. Daemons sign with the secret that has the highest
 * number and accept signatures of every known secret, so that a rotation interrupts no calls.
 *
 * @param number incremented with each rotation
 * @param secretHex 32 random bytes in hexadecimal
 */
public record ContextSecret(int number, String secretHex) implements ConfigEntity {

  /** Checks that the secret is present. */
  public ContextSecret {
    Assert.isTrue(number >= 0, "number must be 0 or more");
    Assert.hasText(secretHex, "secretHex");
  }

  @Override
  public EntityId entityId() {
    return new EntityId(EntityKind.CONTEXT_SECRET, Integer.toString(number));
  }

  @Override
  public String toString() {
    return "ContextSecret[number=" + number + "]";
  }
}
