package org.cornelspoke.state.config;

import org.cornelspoke.util.Assert;

/**
 * The text from which operators replaced all routes, accounts and keys together, kept so that it
 * can be read back unchanged. Only control VMs need it.
 *
 * @param version number that the operators gave to the text; it increases
 * @param text the document as it was sent
 */
public record RoutingDocument(long version, String text) implements ConfigEntity {

  /** There is one document. */
  public static final EntityId ID = new EntityId(EntityKind.ROUTING_DOCUMENT, "routing");

  /** Checks the parts. */
  public RoutingDocument {
    Assert.isTrue(version > 0, "version must be positive");
    Assert.notNull(text, "text");
  }

  @Override
  public EntityId entityId() {
    return ID;
  }
}
