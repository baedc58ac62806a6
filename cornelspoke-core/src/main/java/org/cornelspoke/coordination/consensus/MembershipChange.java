package org.cornelspoke.coordination.consensus;

import java.util.Optional;
import java.util.function.ToLongFunction;
import org.cornelspoke.state.log.MemberIdentity;

/** A membership change that affects one member. */
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

  /** Adds a member as a learner. */
  record AddLearner(Member member) implements MembershipChange {
    @Override
    public Membership applyTo(
        Membership current, ToLongFunction<MemberIdentity> matchIndex, long commitIndex)
        throws MembershipRefusedException {
      if (current.find(member.identity()).isPresent()) {
        throw new MembershipRefusedException(member.vmId() + " is a member already");
      }
      return current.with(
          new Member(member.vmId(), member.identity(), member.peerAddress(), false));
    }
  }

  /** Promotes a learner to voter; it must hold all committed entries. */
  record Promote(MemberIdentity identity) implements MembershipChange {
    @Override
    public Membership applyTo(
        Membership current, ToLongFunction<MemberIdentity> matchIndex, long commitIndex)
        throws MembershipRefusedException {
      Optional<Member> member = current.find(identity);
      if (member.isEmpty() || member.get().voter()) {
        throw new MembershipRefusedException(identity + " is not a learner");
      }
      Member learner = member.get();
      boolean formerVoter =
          current.members().stream().anyMatch(m -> m.voter() && m.vmId().equals(learner.vmId()));
      if (formerVoter) {
        throw new MembershipRefusedException(
            learner.vmId() + " still votes under a former identity; remove that one first");
      }
      long match = matchIndex.applyAsLong(identity);
      if (match < commitIndex) {
        throw new MembershipRefusedException(
            learner.vmId() + " has not caught up: " + match + " of " + commitIndex);
      }
      return current.with(learner.asVoter());
    }
  }

  /** Removes a member; the last voter cannot be removed. */
  record Remove(MemberIdentity identity) implements MembershipChange {
    @Override
    public Membership applyTo(
        Membership current, ToLongFunction<MemberIdentity> matchIndex, long commitIndex)
        throws MembershipRefusedException {
      if (current.find(identity).isEmpty()) {
        throw new MembershipRefusedException(identity + " is not a member");
      }
      Membership changed = current.without(identity);
      if (changed.voterCount() == 0) {
        throw new MembershipRefusedException("the last voter cannot be removed");
      }
      return changed;
    }
  }
}
