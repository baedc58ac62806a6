package org.cornelspoke.coordination.consensus;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.log.MemberIdentity;
import org.cornelspoke.util.Assert;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** The members of the control group, sorted by identity. Immutable. */
public record Membership(List<Member> members) {

  /** Membership of a VM that does not belong to a group yet. */
  public static final Membership EMPTY = new Membership(List.of());

  private static final int MAX_MEMBERS = 1000;

  /** Copies and sorts the members; identities must be unique. */
  public Membership {
    members = members.stream().sorted(Comparator.comparing(Member::identity)).toList();
    for (int i = 1; i < members.size(); i++) {
      Assert.isTrue(
          !members.get(i).identity().equals(members.get(i - 1).identity()),
          "identities must differ");
    }
  }

  /** Finds the member with the identity. */
  public Optional<Member> find(MemberIdentity identity) {
    return members.stream().filter(m -> m.identity().equals(identity)).findFirst();
  }

  /** Returns true if the identity is a voter. */
  public boolean isVoter(MemberIdentity identity) {
    return find(identity).map(Member::voter).orElse(false);
  }

  /** Returns the number of voters. */
  public int voterCount() {
    return (int) members.stream().filter(Member::voter).count();
  }

  /** Returns true if the identities include more than half of the voters. */
  public boolean isQuorum(Set<MemberIdentity> identities) {
    long count =
        members.stream().filter(m -> m.voter() && identities.contains(m.identity())).count();
    return count > voterCount() / 2;
  }

  /** Returns this membership with one member added or replaced. */
  public Membership with(Member member) {
    List<Member> changed = new ArrayList<>(without(member.identity()).members);
    changed.add(member);
    return new Membership(changed);
  }

  /** Returns this membership without one identity. */
  public Membership without(MemberIdentity identity) {
    return new Membership(members.stream().filter(m -> !m.identity().equals(identity)).toList());
  }

  /** Encodes the membership for the log and for snapshots. */
  public byte[] encode() {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(members.size());
      for (Member member : members) {
        packer.packString(member.vmId().value()).packString(member.identity().value());
        packer.packString(member.peerAddress().toString()).packBoolean(member.voter());
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
      int count = unpacker.unpackArrayHeader();
      Assert.isTrue(count <= MAX_MEMBERS, "membership must have at most 1000 members");
      List<Member> members = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        members.add(
            new Member(
                new VmId(unpacker.unpackString()),
                new MemberIdentity(unpacker.unpackString()),
                Endpoint.parse(unpacker.unpackString()),
                unpacker.unpackBoolean()));
      }
      return new Membership(members);
    } catch (IOException | MessagePackException e) {
      throw new IllegalArgumentException("not an encoded membership", e);
    }
  }
}
