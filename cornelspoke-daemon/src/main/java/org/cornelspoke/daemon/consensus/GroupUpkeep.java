package org.cornelspoke.daemon.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Supplier;
import org.cornelspoke.coordination.consensus.Member;
import org.cornelspoke.coordination.consensus.Membership;
import org.cornelspoke.coordination.consensus.MembershipChange;
import org.cornelspoke.coordination.consensus.MembershipPlanner;
import org.cornelspoke.coordination.consensus.MembershipRefusedException;
import org.cornelspoke.coordination.consensus.RaftNode;
import org.cornelspoke.model.VmId;
import org.cornelspoke.protocol.consensus.PeerMessage;

/** Forms the control group on the first start and maintains its membership. */
final class GroupUpkeep {

  private static final System.Logger LOG = System.getLogger(GroupUpkeep.class.getName());

  /** Time without a frame after which a peer counts as absent; spans several pings. */
  private static final long PEER_TIMEOUT_MILLIS = 1_200;

  private final RaftNode node;
  private final PeerConnections connections;
  private final Supplier<PeerMessage.Hello> hello;
  private final boolean mayFormGroup;
  private final Optional<MembershipPlanner> planner;

  GroupUpkeep(
      RaftNode node,
      PeerConnections connections,
      Supplier<PeerMessage.Hello> hello,
      boolean mayFormGroup,
      OptionalInt targetVoters) {
    this.node = node;
    this.connections = connections;
    this.hello = hello;
    this.mayFormGroup = mayFormGroup;
    this.planner =
        targetVoters.isPresent()
            ? Optional.of(new MembershipPlanner(targetVoters.getAsInt()))
            : Optional.empty();
  }

  void tick(long nowNanos) {
    formGroupIfResponsible();
    if (node.role() == RaftNode.Role.LEADER) {
      planner.flatMap(p -> nextChange(p, nowNanos)).ifPresent(this::proposeChange);
    } else {
      planner.ifPresent(MembershipPlanner::reset);
    }
  }

  /** Announces the members to the connected VMs, so that they can connect to the leader. */
  void announce(Membership membership) {
    if (planner.isPresent()) {
      connections.announce(
          new PeerMessage.Members(
              membership.members().stream()
                  .map(m -> new PeerMessage.Members.Address(m.vmId(), m.peerAddress()))
                  .toList()));
    }
  }

  /**
   * Forms the group if this VM has the smallest id and all VMs are connected and empty. The latter
   * prevents a wiped VM from forming a second group.
   */
  private void formGroupIfResponsible() {
    VmId self = hello.get().vmId();
    Set<VmId> peers = connections.staticPeers();
    if (!mayFormGroup || !node.isBlank() || peers.stream().anyMatch(p -> isBefore(p, self))) {
      return;
    }
    List<Member> members = new ArrayList<>();
    members.add(member(hello.get(), true));
    for (VmId peer : peers) {
      Optional<PeerMessage.Hello> known = connections.hello(peer);
      if (known.isEmpty() || !known.get().withoutState()) {
        return;
      }
      members.add(member(known.get(), true));
    }
    LOG.log(System.Logger.Level.INFO, "forming the control group: {0}", members);
    node.bootstrap(new Membership(members));
  }

  private Optional<MembershipChange> nextChange(MembershipPlanner upkeepPlanner, long nowNanos) {
    List<Member> connected =
        connections.heardWithin(PEER_TIMEOUT_MILLIS).stream().map(h -> member(h, false)).toList();
    return upkeepPlanner.nextChange(
        node.membership(),
        node.identity(),
        connected,
        node::matchIndex,
        node.commitIndex(),
        nowNanos);
  }

  private void proposeChange(MembershipChange change) {
    try {
      node.changeMembership(change);
      LOG.log(System.Logger.Level.INFO, "changing the membership: {0}", change);
    } catch (MembershipRefusedException e) {
      LOG.log(
          System.Logger.Level.DEBUG, "membership change is not allowed yet: {0}", e.getMessage());
    }
  }

  private static Member member(PeerMessage.Hello hello, boolean voter) {
    return new Member(hello.vmId(), hello.identity(), hello.peerAddress(), voter);
  }

  private static boolean isBefore(VmId a, VmId b) {
    return a.value().compareTo(b.value()) < 0;
  }
}
