package org.cornelspoke.daemon.admin;

import java.util.List;
import java.util.Optional;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.VmId;

/**
 * State of the control group as known to one control VM.
 *
 * @param answeredBy control VM that reports this status
 * @param leader leader of the current term, if known
 * @param quorumConfirmed true if a quorum confirmed the leader while this status was collected
 * @param appliedIndex last log index that the reporting VM has applied
 * @param appliedRevision configuration revision that the reporting VM has applied
 * @param presetInForce active preset at that revision; empty before the first configuration
 * @param storageFailure why the data folder of the reporting VM refuses writes; empty if it accepts
 *     them
 */
public record GroupStatus(
    VmId answeredBy,
    Optional<VmId> leader,
    boolean quorumConfirmed,
    long term,
    long appliedIndex,
    Revision appliedRevision,
    Optional<PresetName> presetInForce,
    Optional<String> storageFailure,
    List<Member> members) {

  /** Makes an unmodifiable copy of the list. */
  public GroupStatus {
    members = List.copyOf(members);
  }

  /** Role of a member in the control group. */
  public enum MemberRole {
    /** Voting member that leads the current term. */
    LEADER,
    /** Voting member that does not lead. */
    VOTER,
    /** Non-voting member that receives the log. */
    LEARNER
  }

  /**
   * A member of the control group.
   *
   * @param identity random identity created together with the member's data folder; empty if not
   *     known yet
   * @param matchIndex highest log index known to be stored on the member; 0 if the reporting VM is
   *     not the leader
   */
  public record Member(
      VmId vmId, String identity, MemberRole role, Endpoint peerAddress, long matchIndex) {}
}
