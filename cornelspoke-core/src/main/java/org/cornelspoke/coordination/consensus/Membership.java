package org.cornelspoke.coordination.consensus;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.log.MemberIdentity;
import org.cornelspoke.util.Assert;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * The members of the control group, sorted by identity. Immutable.
 *
 * <p>A change of the voters takes two log entries. In the first, the former voters and the new ones
 * are voters together; {@link #settled} returns the membership of the second.
 *
 * @param joining voters that this membership adds to the former ones
 * @param leaving voters of the former membership that do not belong to the new one
 * @param legacy true if it was written by a build that changes the voters with a quorum of the new
 *     ones only
 */
public record Membership(
    List<Member> members,
    Set<MemberIdentity> joining,
    Set<MemberIdentity> leaving,
    boolean legacy) {

  /** Membership of a VM that does not belong to a group yet. */
  public static final Membership EMPTY = new Membership(List.of());

  private static final int MAX_MEMBERS = 1000;

  /** Creates a membership without a change in progress. */
  public Membership(List<Member> members) {
    this(members, Set.of(), Set.of(), false);
  }

  /** Copies and sorts the members; identities must be unique. */
  public Membership {
    members = members.stream().sorted(Comparator.comparing(Member::identity)).toList();
    for (int i = 1; i < members.size(); i++) {
      Assert.isTrue(
          !members.get(i).identity().equals(members.get(i - 1).identity()),
          "identities must differ");
    }
    joining = Set.copyOf(joining);
    leaving = Set.copyOf(leaving);
  }

  /** Finds the member with the identity. */
  public Optional<Member> find(MemberIdentity identity) {
    return members.stream().filter(m -> m.identity().equals(identity)).findFirst();
  }

  /** Returns true if the identity is a voter. */
  public boolean isVoter(MemberIdentity identity) {
    return find(identity).map(Member::voter).orElse(false);
  }

  /** Returns the number of voters, without those that leave. */
  public int voterCount() {
    return newVoters().size();
  }

  /** Returns the voters before the change in progress, or all voters. */
  Set<MemberIdentity> formerVoters() {
    return votersWithout(joining);
  }

  /** Returns the voters after the change in progress, or all voters. */
  Set<MemberIdentity> newVoters() {
    return votersWithout(leaving);
  }

  private Set<MemberIdentity> votersWithout(Set<MemberIdentity> excluded) {
    return members.stream()
        .filter(member -> member.voter() && !excluded.contains(member.identity()))
        .map(Member::identity)
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns true if no change of the voters is in progress. */
  public boolean isSettled() {
    return joining.isEmpty() && leaving.isEmpty() && !legacy;
  }

  /** Returns the membership after the change in progress. */
  Membership settled() {
    return new Membership(
        members.stream().filter(member -> !leaving.contains(member.identity())).toList());
  }

  /**
   * Returns the membership in which a change of the voters is in progress.
   *
   * @param added learners that become voters
   * @param removed voters that leave
   */
  Membership changingVoters(Set<MemberIdentity> added, Set<MemberIdentity> removed) {
    return new Membership(
        settled().members.stream()
            .map(member -> added.contains(member.identity()) ? member.asVoter() : member)
            .toList(),
        added,
        removed,
        false);
  }

  /** Returns this membership with one member added or replaced. */
  public Membership with(Member member) {
    List<Member> changed = new ArrayList<>(without(member.identity()).members);
    changed.add(member);
    return new Membership(changed, joining, leaving, legacy);
  }

  /** Returns this membership without one identity. */
  public Membership without(MemberIdentity identity) {
    return new Membership(
        members.stream().filter(m -> !m.identity().equals(identity)).toList(),
        joining,
        leaving,
        legacy);
  }

  /**
   * Encodes the membership for the log and for snapshots. Former builds ignore what follows the
   * members.
   */
  public byte[] encode() {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(members.size());
      for (Member member : members) {
        packer.packString(member.vmId().value()).packString(member.identity().value());
        packer.packString(member.peerAddress().toString()).packBoolean(member.voter());
      }
      if (!legacy) {
        packIdentities(packer, joining);
        packIdentities(packer, leaving);
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("packing into memory cannot fail", e);
    }
  }

  /**
   * Decodes a membership.
   *
   * @throws IllegalArgumentException if the bytes are not an encoded membership
   */
  public static Membership decode(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int count = unpackCount(unpacker);
      List<Member> members = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        members.add(
            new Member(
                new VmId(unpacker.unpackString()),
                new MemberIdentity(unpacker.unpackString()),
                Endpoint.parse(unpacker.unpackString()),
                unpacker.unpackBoolean()));
      }
      if (!unpacker.hasNext()) {
        return new Membership(members, Set.of(), Set.of(), true);
      }
      return new Membership(members, unpackIdentities(unpacker), unpackIdentities(unpacker), false);
    } catch (IOException | MessagePackException e) {
      throw new IllegalArgumentException("not an encoded membership", e);
    }
  }

  private static void packIdentities(MessageBufferPacker packer, Set<MemberIdentity> identities)
      throws IOException {
    packer.packArrayHeader(identities.size());
    for (MemberIdentity identity : new TreeSet<>(identities)) {
      packer.packString(identity.value());
    }
  }

  private static Set<MemberIdentity> unpackIdentities(MessageUnpacker unpacker) throws IOException {
    int count = unpackCount(unpacker);
    Set<MemberIdentity> identities = new HashSet<>();
    for (int i = 0; i < count; i++) {
      identities.add(new MemberIdentity(unpacker.unpackString()));
    }
    return identities;
  }

  private static int unpackCount(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackArrayHeader();
    Assert.isTrue(count <= MAX_MEMBERS, "membership must have at most 1000 members");
    return count;
  }
}
