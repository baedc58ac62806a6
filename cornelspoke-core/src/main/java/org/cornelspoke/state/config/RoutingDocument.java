package org.cornelspoke.state.config;

import org.cornelspoke.util.Assert;

/**
 * Source text of the latest replacement of all routes, accounts and keys, stored so that operators
 * can read it back unchanged. Not sent to traffic daemons.
 *
 * @param version version assigned by the operators; strictly increasing
 * @param text the document as received
 */
public record RoutingDocument(long version, String text) implements ConfigEntity {

  /** Id of the only routing document. */
  public static final EntityId ID = new EntityId(EntityKind.ROUTING_DOCUMENT, "routing");

  /** Checks the components. */
  public RoutingDocument {
    Assert.isTrue(version > 0, "version must be positive");
    Assert.notNull(text, "text");
  }

  @Override
  public EntityId entityId() {
    return ID;
  }
}
