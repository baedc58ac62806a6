package org.cornelspoke.state.log;

import java.util.Optional;

/** Current term and vote, which must be durable before a message that depends on them is sent. */
public record HardState(long term, Optional<MemberIdentity> vote) {

  /** State of a member that has not yet seen a term. */
  public static final HardState INITIAL = new HardState(0, Optional.empty());
}
