package org.cornelspoke.protocol.call;

import java.util.Optional;
import org.cornelspoke.util.Assert;

/**
 * What a daemon tells the daemon of a target with a call, beside the request itself. Each part is
 * empty if it is unknown, also because the sender is of an earlier build.
 *
 * @param targetNotice latest notice that the sender received of the target's upstream
 * @param targetEstimate latest estimate that the sender received of the target's upstream
 * @param root the client request on whose behalf a nested call is made
 */
public record CallMetadata(
    Optional<TargetNotice> targetNotice,
    Optional<TargetEstimate> targetEstimate,
    Optional<RootOrigin> root) {

  /** Metadata of which nothing is known. */
  public static final CallMetadata NONE =
      new CallMetadata(Optional.empty(), Optional.empty(), Optional.empty());

  /** Checks that the components are not null. */
  public CallMetadata {
    Assert.notNull(targetNotice, "targetNotice");
    Assert.notNull(targetEstimate, "targetEstimate");
    Assert.notNull(root, "root");
  }

  /** Returns a copy with another notice. */
  public CallMetadata withTargetNotice(Optional<TargetNotice> newTargetNotice) {
    return new CallMetadata(newTargetNotice, targetEstimate, root);
  }

  /** Returns a copy with another estimate. */
  public CallMetadata withTargetEstimate(Optional<TargetEstimate> newTargetEstimate) {
    return new CallMetadata(targetNotice, newTargetEstimate, root);
  }

  /** Returns a copy with another root. */
  public CallMetadata withRoot(Optional<RootOrigin> newRoot) {
    return new CallMetadata(targetNotice, targetEstimate, newRoot);
  }
}
