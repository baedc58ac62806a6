package org.cornelspoke.coordination.consensus;

import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.log.MemberIdentity;

/** A change of the membership in force. */
public sealed interface MembershipChange {

  /**
   * Returns the changed membership.
   *
   * @param matchIndex last durable index of each member
   * @throws MembershipRefusedException if a rule forbids the change
   */
  Membership applyTo(
      Membership current, ToLongFunction<MemberIdentity> matchIndex, long commitIndex)
      throws MembershipRefusedException;

  /** Adds a member as a learner, in place of a learner that its VM was before. */
  record AddLearner(Member member) implements MembershipChange {
    @Override
    public Membership applyTo(
        Membership current, ToLongFunction<MemberIdentity> matchIndex, long commitIndex)
        throws MembershipRefusedException {
      Membership settled = current.settled();
      if (settled.find(member.identity()).isPresent()) {
        throw new MembershipRefusedException(member.vmId() + " is a member already");
      }
      Membership changed = settled;
      for (Member other : settled.members()) {
        if (!other.voter() && other.vmId().equals(member.vmId())) {
          changed = changed.without(other.identity());
        }
      }
      return changed.with(
          new Member(member.vmId(), member.identity(), member.peerAddress(), false));
    }
  }

  /** Promotes a learner to voter; it must hold all committed entries. */
  record Promote(MemberIdentity identity) implements MembershipChange {
    @Override
    public Membership applyTo(
        Membership current, ToLongFunction<MemberIdentity> matchIndex, long commitIndex)
        throws MembershipRefusedException {
      return new ReplaceVoters(Set.of(identity), Set.of())
          .applyTo(current, matchIndex, commitIndex);
    }
  }

  /** Removes a member; the last voter cannot be removed. */
  record Remove(MemberIdentity identity) implements MembershipChange {
    @Override
    public Membership applyTo(
        Membership current, ToLongFunction<MemberIdentity> matchIndex, long commitIndex)
        throws MembershipRefusedException {
      Membership settled = current.settled();
      Optional<Member> member = settled.find(identity);
      if (member.isEmpty()) {
        throw new MembershipRefusedException(identity + " is not a member");
      }
      return member.get().voter()
          ? new ReplaceVoters(Set.of(), Set.of(identity)).applyTo(current, matchIndex, commitIndex)
          : settled.without(identity);
    }
  }

  /**
   * Promotes learners and removes voters in one step. The learners must hold all committed entries,
   * and at least one voter must remain.
   */
  record ReplaceVoters(Set<MemberIdentity> added, Set<MemberIdentity> removed)
      implements MembershipChange {

    /** Copies the sets. */
    public ReplaceVoters {
      added = Set.copyOf(added);
      removed = Set.copyOf(removed);
    }

    @Override
    public Membership applyTo(
        Membership current, ToLongFunction<MemberIdentity> matchIndex, long commitIndex)
        throws MembershipRefusedException {
      Membership settled = current.settled();
      for (MemberIdentity identity : added) {
        checkPromotion(settled, identity, matchIndex.applyAsLong(identity), commitIndex);
      }
      for (MemberIdentity identity : removed) {
        if (!settled.isVoter(identity)) {
          throw new MembershipRefusedException(identity + " is not a voter");
        }
      }
      Membership changed = settled.changingVoters(added, removed);
      if (changed.voterCount() == 0) {
        throw new MembershipRefusedException("the last voter cannot be removed");
      }
      return changed;
    }

    private void checkPromotion(
        Membership settled, MemberIdentity identity, long matchIndex, long commitIndex)
        throws MembershipRefusedException {
      Optional<Member> member = settled.find(identity);
      if (member.isEmpty() || member.get().voter()) {
        throw new MembershipRefusedException(identity + " is not a learner");
      }
      VmId vmId = member.get().vmId();
      boolean formerVoter =
          settled.members().stream()
              .anyMatch(m -> m.voter() && m.vmId().equals(vmId) && !removed.contains(m.identity()));
      if (formerVoter) {
        throw new MembershipRefusedException(
            vmId + " still votes under a former identity; remove that one first");
      }
      if (matchIndex < commitIndex) {
        throw new MembershipRefusedException(
            vmId + " has not caught up: " + matchIndex + " of " + commitIndex);
      }
    }
  }
}
