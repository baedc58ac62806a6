package org.cornelspoke.coordination.consensus;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.log.MemberIdentity;
import org.cornelspoke.util.Assert;

/**
 * Plans the membership changes that a leader makes without an operator: adds connected VMs as
 * learners, and lets learners that have caught up take the places of voters that are gone.
 *
 * <p>A group has a target number of voters, and one more while all of them are present, so that the
 * successor of a VM that is about to leave counts before it does. Further VMs remain learners until
 * a voter is silent. A silent voter may be down or gone for good, and nothing tells which: if fewer
 * learners can step in than voters are silent, all silent voters are removed, and those that return
 * join again. Nothing is decided while a voter may just have fallen silent, as it may be the one
 * that the learner replaces. A group whose voters are only down, without a learner, never shrinks,
 * so the first voters to return can form a quorum.
 *
 * <p>A wiped VM returns with the same VM id and another identity, which takes the place of the
 * former one.
 *
 * <p>Not thread-safe.
 */
public final class MembershipPlanner {

  /**
   * Time without a message after which a voter counts as silent. Short enough to complete a
   * replacement within the time that a new VM has to catch up; a restarting VM returns sooner.
   */
  private static final long VOTER_ABSENCE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Time without a message after which a learner is removed; it joins again when it returns. */
  private static final long LEARNER_ABSENCE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final int targetVoters;
  private final Map<MemberIdentity, Long> lastHeardAtNanos = new HashMap<>();
  private boolean spareAvailable;
  private long spareSinceNanos;

  /**
   * Creates a planner.
   *
   * @param targetVoters number of voters that the group should have
   */
  public MembershipPlanner(int targetVoters) {
    Assert.isTrue(targetVoters > 0, "targetVoters must be positive");
    this.targetVoters = targetVoters;
  }

  /** Discards the contact times; called when they are stale because another member may have led. */
  public void reset() {
    lastHeardAtNanos.clear();
    spareAvailable = false;
  }

  /**
   * Returns the next change, or empty if none is needed.
   *
   * @param self identity of the leader
   * @param connected connected VMs with their current identities, without the leader itself
   * @param matchIndex last durable index of each member
   */
  public Optional<MembershipChange> nextChange(
      Membership membership,
      MemberIdentity self,
      Collection<Member> connected,
      ToLongFunction<MemberIdentity> matchIndex,
      long commitIndex,
      long nowNanos) {
    membership
        .members()
        .forEach(member -> lastHeardAtNanos.putIfAbsent(member.identity(), nowNanos));
    connected.forEach(member -> lastHeardAtNanos.put(member.identity(), nowNanos));
    lastHeardAtNanos.put(self, nowNanos);
    Membership settled = membership.settled();
    for (Member vm : connected) {
      if (settled.find(vm.identity()).isEmpty()) {
        return Optional.of(new MembershipChange.AddLearner(vm));
      }
    }
    List<Member> caughtUp =
        settled.members().stream()
            .filter(member -> !member.voter() && isConnected(member, connected))
            .filter(member -> matchIndex.applyAsLong(member.identity()) >= commitIndex)
            .toList();
    VoterCensus census = new VoterCensus(settled, self, connected, nowNanos);
    Optional<MembershipChange> change =
        replaceVoters(census, caughtUp, isComplete(census, caughtUp, nowNanos));
    return change.isPresent() ? change : removeSilentLearner(settled, nowNanos);
  }

  /**
   * Returns true if a learner has been available for longer than it takes to notice that one of the
   * voters, all of which appear to be present, has ended.
   */
  private boolean isComplete(VoterCensus census, List<Member> caughtUp, long nowNanos) {
    boolean complete =
        census.present.size() == targetVoters
            && census.all.size() == targetVoters
            && !caughtUp.isEmpty();
    if (complete && !spareAvailable) {
      spareSinceNanos = nowNanos;
    }
    spareAvailable = complete;
    return complete && nowNanos - spareSinceNanos > VOTER_ABSENCE_TIMEOUT_NANOS;
  }

  private static boolean isConnected(Member member, Collection<Member> connected) {
    return connected.stream().anyMatch(vm -> vm.identity().equals(member.identity()));
  }

  /** The voters by what is known of them. */
  private final class VoterCensus {
    final Set<MemberIdentity> all = new HashSet<>();
    final List<Member> present = new ArrayList<>();

    /** Voters that are not connected, but may be about to return. */
    final List<Member> unclear = new ArrayList<>();

    final List<Member> silent = new ArrayList<>();

    /** Voters whose VMs have had another identity since. */
    final List<Member> wiped = new ArrayList<>();

    VoterCensus(
        Membership membership, MemberIdentity self, Collection<Member> connected, long nowNanos) {
      for (Member member : membership.members()) {
        if (member.voter()) {
          all.add(member.identity());
          long silentNanos = nowNanos - lastHeardAtNanos.get(member.identity());
          if (member.identity().equals(self) || isConnected(member, connected)) {
            present.add(member);
          } else if (Stream.concat(connected.stream(), membership.members().stream())
              .anyMatch(vm -> isSuccessor(vm, member))) {
            wiped.add(member);
          } else {
            (silentNanos <= VOTER_ABSENCE_TIMEOUT_NANOS ? unclear : silent).add(member);
          }
        }
      }
    }
  }

  /** Returns true if the VM of a voter was connected with a later identity. */
  private static boolean isSuccessor(Member vm, Member voter) {
    return vm.vmId().equals(voter.vmId()) && !vm.identity().equals(voter.identity());
  }

  private Optional<MembershipChange> replaceVoters(
      VoterCensus census, List<Member> caughtUp, boolean oneMore) {
    List<Member> voters = new ArrayList<>(census.present);
    voters.addAll(census.unclear);
    boolean decided = census.unclear.isEmpty();
    if (!decided) {
      voters.addAll(census.silent);
    }
    int missing = oneMore ? 1 : Math.max(0, targetVoters - voters.size());
    List<Member> promoted = selectLearners(census, caughtUp, missing);
    if (promoted.isEmpty() && census.all.size() <= targetVoters) {
      return Optional.empty();
    }
    voters.addAll(promoted);
    boolean silentFit = voters.size() + census.silent.size() <= targetVoters;
    if (decided && (silentFit || voters.size() < minVoters())) {
      voters.addAll(census.silent);
    }
    Set<VmId> vms = voters.stream().map(Member::vmId).collect(Collectors.toSet());
    for (Member wiped : census.wiped) {
      if (voters.size() < minVoters() && vms.add(wiped.vmId())) {
        voters.add(wiped);
      }
    }
    Set<MemberIdentity> added = identities(promoted);
    Set<MemberIdentity> removed = new HashSet<>(census.all);
    removed.removeAll(identities(voters));
    return added.isEmpty() && removed.isEmpty()
        ? Optional.empty()
        : Optional.of(new MembershipChange.ReplaceVoters(added, removed));
  }

  /** Returns the learners to promote, new identities of wiped voters first. */
  private static List<Member> selectLearners(VoterCensus census, List<Member> caughtUp, int limit) {
    return caughtUp.stream()
        .sorted(
            Comparator.comparing(
                (Member learner) ->
                    census.wiped.stream().noneMatch(voter -> isSuccessor(learner, voter))))
        .limit(limit)
        .toList();
  }

  /**
   * Returns the smallest number of voters whose majorities are as large as those of the target, so
   * that each committed entry is on as many disks.
   */
  private int minVoters() {
    return targetVoters / 2 * 2;
  }

  private static Set<MemberIdentity> identities(List<Member> members) {
    return members.stream().map(Member::identity).collect(Collectors.toSet());
  }

  private Optional<MembershipChange> removeSilentLearner(Membership membership, long nowNanos) {
    return membership.members().stream()
        .filter(member -> !member.voter())
        .filter(
            member ->
                nowNanos - lastHeardAtNanos.get(member.identity()) > LEARNER_ABSENCE_TIMEOUT_NANOS)
        .findFirst()
        .map(member -> new MembershipChange.Remove(member.identity()));
  }
}
