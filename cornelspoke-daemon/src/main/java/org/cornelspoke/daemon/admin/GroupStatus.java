package org.cornelspoke.daemon.admin;

import java.util.List;
import java.util.Optional;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.VmId;

/**
 * State of the control group as one control VM sees it.
 *
 * @param answeredBy the control VM that gives this answer
 * @param leader the leader of the term, if known
 * @param quorumConfirmed true if a quorum confirmed the leader while this answer was made
 * @param appliedIndex log index that the answering VM has applied
 * @param appliedRevision configuration revision that the answering VM has applied
 * @param presetInForce the preset in force at that revision, empty before the first configuration
 */
public record GroupStatus(
    VmId answeredBy,
    Optional<VmId> leader,
    boolean quorumConfirmed,
    long term,
    long appliedIndex,
    Revision appliedRevision,
    Optional<PresetName> presetInForce,
    List<Member> members) {

  /** Copies the list. */
  public GroupStatus {
    members = List.copyOf(members);
  }

  /** Part that a member plays in the control group. */
  public enum MemberRole {
    /** Votes and leads the term. */
    LEADER,
    /** Votes. */
    VOTER,
    /** Receives the log and does not vote. */
    LEARNER
  }

  /**
   * One member.
   *
   * @param identity random identity that was created with the member's data folder, empty if not
   *     known yet
   * @param matchIndex last log index known to be stored on the member; 0 if the answering VM does
   *     not lead
   */
  public record Member(
      VmId vmId, String identity, MemberRole role, Endpoint peerAddress, long matchIndex) {}
}
