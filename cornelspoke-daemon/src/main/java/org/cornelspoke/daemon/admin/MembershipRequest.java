package org.cornelspoke.daemon.admin;

import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.model.VmId;

/** An operator's request to change the members of the control group. */
public record MembershipRequest(RequestId requestId, OperatorId operator, Change change) {

  /** A change of a single member. */
  public sealed interface Change {

    /** Returns the VM that is added, promoted or removed. */
    VmId vmId();
  }

  /** Adds a VM as a learner, which receives the log but does not vote. */
  public record AddLearner(
      VmId vmId, Endpoint peerAddress, Endpoint relayAddress, Endpoint adminAddress)
      implements Change {}

  /** Makes a learner a voter; refused until the learner has caught up with the log. */
  public record Promote(VmId vmId) implements Change {}

  /** Removes a member; refused for the last voter. */
  public record Remove(VmId vmId) implements Change {}
}
