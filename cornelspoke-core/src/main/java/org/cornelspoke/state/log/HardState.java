package org.cornelspoke.state.log;

import java.util.Optional;

/** Term and vote, which must be durable before a message depends on them. */
public record HardState(long term, Optional<MemberIdentity> vote) {

  /** State of a member that has seen no term. */
  public static final HardState INITIAL = new HardState(0, Optional.empty());
}
