package org.cornelspoke.coordination.consensus;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.log.MemberIdentity;

/**
 * Decides which membership change a leader makes without an operator: takes in VMs that ask to
 * join, gives them a vote once they have caught up, and removes what they replace.
 *
 * <p>A wiped VM comes back under its name with another identity; its former identity is removed
 * before the new one gets a vote. An absent voter is removed only while the number of voters is
 * even, because only then a further VM has taken its place. A group whose voters are merely down
 * therefore never shrinks, and those that come back first can form a quorum.
 *
 * <p>Not safe for use by several threads.
 */
public final class MembershipKeeper {

  /**
   * Silence after which a voter counts as absent. Replacements must be complete within the time
   * that a new VM has to catch up, and a VM that restarts is back sooner.
   */
  private static final long ABSENT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Silence after which a learner is forgotten; it joins anew when it comes back. */
  private static final long LEARNER_ABSENT_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** More voters make each commit slower and add no tolerance that a deployment needs. */
  private static final int MAX_VOTERS = 7;

  private static final int MIN_VOTERS = 3;

  private final Map<MemberIdentity, Long> heardNanos = new HashMap<>();

  /** Forgets what was observed; called when another member may have led. */
  public void reset() {
    heardNanos.clear();
  }

  /**
   * Returns the next change, or empty if the membership is as it should be.
   *
   * @param self identity of the leader
   * @param connected VMs that are heard now, each with its present identity; not the leader itself
   * @param matchIndex last durable index of each member
   */
  public Optional<MembershipChange> next(
      Membership present,
      MemberIdentity self,
      Collection<Member> connected,
      ToLongFunction<MemberIdentity> matchIndex,
      long commitIndex,
      long nowNanos) {
    present.members().forEach(member -> heardNanos.putIfAbsent(member.identity(), nowNanos));
    connected.forEach(member -> heardNanos.put(member.identity(), nowNanos));
    heardNanos.put(self, nowNanos);
    for (Member vm : connected) {
      if (present.find(vm.identity()).isEmpty()) {
        return Optional.of(new MembershipChange.AddLearner(vm));
      }
    }
    for (Member vm : connected) {
      Member member = present.find(vm.identity()).orElseThrow();
      if (!member.voter() && matchIndex.applyAsLong(member.identity()) >= commitIndex) {
        Optional<MembershipChange> change = admit(present, member);
        if (change.isPresent()) {
          return change;
        }
      }
    }
    return removeAbsent(present, nowNanos);
  }

  private static Optional<MembershipChange> admit(Membership present, Member learner) {
    Optional<Member> former = formerVoter(present, learner.vmId());
    if (former.isPresent()) {
      return Optional.of(new MembershipChange.Remove(former.get().identity()));
    }
    return present.voterCount() < MAX_VOTERS
        ? Optional.of(new MembershipChange.Promote(learner.identity()))
        : Optional.empty();
  }

  private static Optional<Member> formerVoter(Membership present, VmId vmId) {
    return present.members().stream()
        .filter(member -> member.voter() && member.vmId().equals(vmId))
        .findFirst();
  }

  private Optional<MembershipChange> removeAbsent(Membership present, long nowNanos) {
    boolean surplus = present.voterCount() > MIN_VOTERS && present.voterCount() % 2 == 0;
    List<Member> members = present.members();
    for (Member member : members) {
      long silentNanos = nowNanos - heardNanos.get(member.identity());
      boolean remove =
          member.voter()
              ? surplus && silentNanos > ABSENT_NANOS
              : silentNanos > LEARNER_ABSENT_NANOS;
      if (remove) {
        return Optional.of(new MembershipChange.Remove(member.identity()));
      }
    }
    return Optional.empty();
  }
}
