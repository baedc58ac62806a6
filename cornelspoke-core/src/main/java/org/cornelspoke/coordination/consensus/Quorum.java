package org.cornelspoke.coordination.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import org.cornelspoke.state.log.MemberIdentity;

/**
 * Decides whether a set of voters suffices for an election, a commit, a read or continued
 * leadership.
 *
 * <p>More than half of the voters suffice. Half of an even number suffices if at least one of the
 * voters is known to be lost for good and none of the lost ones is counted: a majority holds one
 * voter more than half, so it has a member in common with each such half; and two such halves have
 * one in common because both leave out a lost voter. While a change of the voters is in progress,
 * both the former and the new voters must suffice.
 */
final class Quorum {

  private record VoterSet(Set<MemberIdentity> counted, int required) {

    static VoterSet of(Set<MemberIdentity> voters, Set<MemberIdentity> lost) {
      Set<MemberIdentity> counted = new HashSet<>(voters);
      counted.removeAll(lost);
      boolean halfSuffices = voters.size() % 2 == 0 && counted.size() < voters.size();
      return new VoterSet(counted, halfSuffices ? voters.size() / 2 : voters.size() / 2 + 1);
    }

    boolean isReachedBy(Set<MemberIdentity> identities) {
      return counted.stream().filter(identities::contains).count() >= required;
    }

    long highestReached(ToLongFunction<MemberIdentity> value) {
      long[] values = counted.stream().mapToLong(value).sorted().toArray();
      return values.length < required ? 0 : values[values.length - required];
    }
  }

  private final List<VoterSet> voterSets;

  private Quorum(List<VoterSet> voterSets) {
    this.voterSets = voterSets;
  }

  /**
   * Returns the rule for a membership.
   *
   * @param lost identities whose data folders are known to be lost. Those that the rule of an
   *     election leaves out must have been lost before the first vote of that election was
   *     requested, and the rule of its leader must leave out the same.
   */
  static Quorum of(Membership membership, Set<MemberIdentity> lost) {
    Set<MemberIdentity> leftOut = membership.legacy() ? Set.of() : lost;
    return new Quorum(
        Stream.of(membership.formerVoters(), membership.newVoters())
            .distinct()
            .map(voters -> VoterSet.of(voters, leftOut))
            .toList());
  }

  /** Returns true if the identities include enough voters. */
  boolean isReachedBy(Set<MemberIdentity> identities) {
    return voterSets.stream().allMatch(set -> set.isReachedBy(identities));
  }

  /** Returns the largest value that enough voters have reached, or 0. */
  long highestReached(ToLongFunction<MemberIdentity> value) {
    return voterSets.stream().mapToLong(set -> set.highestReached(value)).min().orElse(0);
  }
}
