package org.cornelspoke.daemon.admin;

import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.model.VmId;

/** A change of the control group's members together with who asks for it. */
public record MembershipRequest(RequestId requestId, OperatorId operator, Change change) {

  /** One change of the members. */
  public sealed interface Change {

    /** Returns the VM that the change is about. */
    VmId vmId();
  }

  /** Adds a VM that receives the log and does not vote. */
  public record AddLearner(
      VmId vmId, Endpoint peerAddress, Endpoint relayAddress, Endpoint adminAddress)
      implements Change {}

  /** Gives a learner a vote; refused until it has caught up. */
  public record Promote(VmId vmId) implements Change {}

  /** Removes a member; refused for the last voter. */
  public record Remove(VmId vmId) implements Change {}
}
