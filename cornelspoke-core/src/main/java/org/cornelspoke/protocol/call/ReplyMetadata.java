package org.cornelspoke.protocol.call;

import java.util.Optional;
import java.util.OptionalDouble;
import org.cornelspoke.util.Assert;

/**
 * What the daemon of a target tells the caller's daemon with the response of the upstream. Each
 * part is empty if it is unknown, also because the sender is of an earlier build.
 *
 * @param targetNotice notice in force of the upstream process
 * @param targetEstimate what the target's daemon has learned about the upstream
 * @param room fraction, from 0 to 1, of the requests of the call's root class and account for which
 *     the target and the services below it have capacity
 */
public record ReplyMetadata(
    Optional<TargetNotice> targetNotice,
    Optional<TargetEstimate> targetEstimate,
    OptionalDouble room) {

  /** Metadata of which nothing is known. */
  public static final ReplyMetadata NONE =
      new ReplyMetadata(Optional.empty(), Optional.empty(), OptionalDouble.empty());

  /** Checks that the components are not null and the fraction is in range. */
  public ReplyMetadata {
    Assert.notNull(targetNotice, "targetNotice");
    Assert.notNull(targetEstimate, "targetEstimate");
    Assert.notNull(room, "room");
    Assert.isTrue(
        room.isEmpty() || (room.getAsDouble() >= 0 && room.getAsDouble() <= 1),
        "room must be between 0 and 1");
  }

  /** Returns a copy with another notice. */
  public ReplyMetadata withTargetNotice(Optional<TargetNotice> newTargetNotice) {
    return new ReplyMetadata(newTargetNotice, targetEstimate, room);
  }

  /** Returns a copy with another estimate. */
  public ReplyMetadata withTargetEstimate(Optional<TargetEstimate> newTargetEstimate) {
    return new ReplyMetadata(targetNotice, newTargetEstimate, room);
  }

  /** Returns a copy with another fraction. */
  public ReplyMetadata withRoom(OptionalDouble newRoom) {
    return new ReplyMetadata(targetNotice, targetEstimate, newRoom);
  }
}
