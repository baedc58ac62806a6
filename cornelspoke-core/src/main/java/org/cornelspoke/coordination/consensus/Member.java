package org.cornelspoke.coordination.consensus;

import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.log.MemberIdentity;

/**
 * One member of the control group. Votes are counted by identity, not by VM id.
 *
 * @param voter false for a learner
 */
public record Member(VmId vmId, MemberIdentity identity, Endpoint peerAddress, boolean voter) {

  /** Returns the same member as a voter. */
  public Member asVoter() {
    return new Member(vmId, identity, peerAddress, true);
  }
}
