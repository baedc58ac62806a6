package org.cornelspoke.daemon.consensus;

import org.cornelspoke.coordination.consensus.Member;
import org.cornelspoke.coordination.consensus.RaftNode;

/**
 * Status of one member as known on this VM.
 *
 * @param matchIndex last durable index acknowledged by the member; 0 if this VM is not the leader
 * @param leader true if this VM regards the member as the leader
 */
public record MemberStatus(Member member, long matchIndex, boolean leader) {

  /** Returns the status of a member as the node knows it. */
  static MemberStatus of(Member member, RaftNode node) {
    boolean leads = node.leader().filter(member.identity()::equals).isPresent();
    return new MemberStatus(member, node.matchIndex(member.identity()), leads);
  }
}
