package org.cornelspoke.coordination.consensus;

import java.util.HashSet;
import java.util.Set;
import org.cornelspoke.state.log.MemberIdentity;

/** Counts the pre-votes and votes that this member is granted as a candidate. */
final class VoteCount {

  private final RaftState state;
  private final Set<MemberIdentity> granted = new HashSet<>();

  /** Members whose data folders are lost, as their VMs have reported. They never return. */
  private final Set<MemberIdentity> lostMembers = new HashSet<>();

  private Set<MemberIdentity> lostBeforeElection = Set.of();

  VoteCount(RaftState state) {
    this.state = state;
  }

  void clear() {
    granted.clear();
  }

  /**
   * Starts an election. A member that is reported as lost from now on may have voted in it, so it
   * still counts as a voter.
   */
  void startElection() {
    granted.clear();
    lostBeforeElection = Set.copyOf(lostMembers);
  }

  /** Returns the members that the election started last leaves out. */
  Set<MemberIdentity> lostBeforeElection() {
    return lostBeforeElection;
  }

  /** Adds a pre-vote; returns true if it completes a quorum. */
  boolean completesPreVote(MemberIdentity from) {
    return add(from) && isPreVoteComplete();
  }

  /** Adds a vote; returns true if it completes a quorum. */
  boolean completesElection(MemberIdentity from) {
    return add(from) && Quorum.of(state.membership(), lostBeforeElection).isReachedBy(granted);
  }

  /** Records a lost member; returns true if the pre-votes suffice without it. */
  boolean completesPreVoteWithout(MemberIdentity lost) {
    lostMembers.removeIf(identity -> state.membership().find(identity).isEmpty());
    return state.membership().isVoter(lost) && lostMembers.add(lost) && isPreVoteComplete();
  }

  private boolean isPreVoteComplete() {
    return Quorum.of(state.membership(), lostMembers).isReachedBy(granted);
  }

  private boolean add(MemberIdentity from) {
    return state.membership().isVoter(from) && granted.add(from);
  }
}
