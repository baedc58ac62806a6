package org.cornelspoke.coordination.consensus;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.log.MemberIdentity;
import org.junit.jupiter.api.Test;

/** Guards against groups that shrink while VMs are down, or that keep members that are gone. */
final class MembershipKeeperTest {

  private static final long COMMIT = 100;

  private final MembershipKeeper keeper = new MembershipKeeper();
  private long nowNanos = 1;

  @Test
  void takesInVmThatConnects() {
    Membership three = voters("a1", "b1", "c1");

    assertThat(next(three, "b1", "c1", "d1"))
        .hasValue(new MembershipChange.AddLearner(vm("d1", false)));
  }

  @Test
  void promotesLearnerOnlyAfterItHasCaughtUp() {
    Membership present = voters("a1", "b1", "c1").with(vm("d1", false));

    assertThat(next(present, any -> COMMIT - 1, "b1", "c1", "d1")).isEmpty();
    assertThat(next(present, any -> COMMIT, "b1", "c1", "d1"))
        .hasValue(new MembershipChange.Promote(id("d1")));
  }

  @Test
  void removesFormerIdentityOfWipedVmBeforeItsNewOneVotes() {
    Membership present = voters("a1", "b1", "c1", "d1", "e1").with(vm("e2", false));

    assertThat(next(present, "b1", "c1", "d1", "e2"))
        .hasValue(new MembershipChange.Remove(id("e1")));
    assertThat(next(present.without(id("e1")), "b1", "c1", "d1", "e2"))
        .hasValue(new MembershipChange.Promote(id("e2")));
  }

  @Test
  void keepsAbsentVotersOfOddGroup() {
    Membership five = voters("a1", "b1", "c1", "d1", "e1");
    next(five, "b1", "c1", "d1", "e1");

    nowNanos += TimeUnit.HOURS.toNanos(1);

    assertThat(next(five, "b1", "c1")).isEmpty();
  }

  @Test
  void removesAbsentVoterOnceAnotherVmHasTakenItsPlace() {
    Membership six = voters("a1", "b1", "c1", "d1", "e1", "f1");
    next(six, "b1", "c1", "d1", "e1", "f1");

    nowNanos += TimeUnit.SECONDS.toNanos(2);

    assertThat(next(six, "b1", "c1", "d1", "f1")).hasValue(new MembershipChange.Remove(id("e1")));
  }

  @Test
  void newLeaderGivesEveryVoterTimeToBeHeard() {
    Membership six = voters("a1", "b1", "c1", "d1", "e1", "f1");
    next(six, "b1", "c1", "d1", "f1");
    nowNanos += TimeUnit.SECONDS.toNanos(2);

    keeper.reset();

    assertThat(next(six, "b1", "c1", "d1", "f1")).isEmpty();
  }

  @Test
  void forgetsLearnerThatIsGone() {
    Membership present = voters("a1", "b1", "c1").with(vm("d1", false));
    next(present, any -> 0, "b1", "c1", "d1");

    nowNanos += TimeUnit.SECONDS.toNanos(11);

    assertThat(next(present, any -> 0, "b1", "c1")).hasValue(new MembershipChange.Remove(id("d1")));
  }

  private Optional<MembershipChange> next(Membership present, String... connected) {
    return next(present, any -> COMMIT, connected);
  }

  private Optional<MembershipChange> next(
      Membership present, ToLongFunction<MemberIdentity> matchIndex, String... connected) {
    List<Member> vms = new ArrayList<>();
    for (String identity : connected) {
      vms.add(vm(identity, false));
    }
    return keeper.next(present, id("a1"), vms, matchIndex, COMMIT, nowNanos);
  }

  private static Membership voters(String... identities) {
    List<Member> members = new ArrayList<>();
    for (String identity : identities) {
      members.add(vm(identity, true));
    }
    return new Membership(members);
  }

  private static MemberIdentity id(String start) {
    return new MemberIdentity(start + "0".repeat(30));
  }

  /** The first letter of an identity names the VM. */
  private static Member vm(String identity, boolean voter) {
    String name = identity.substring(0, 1);
    return new Member(
        new VmId("vm-" + name),
        id(identity),
        new Endpoint("10.0.0." + (name.charAt(0) - 'a' + 1), 7000),
        voter);
  }
}
