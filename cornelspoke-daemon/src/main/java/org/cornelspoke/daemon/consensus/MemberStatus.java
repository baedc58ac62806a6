package org.cornelspoke.daemon.consensus;

import org.cornelspoke.coordination.consensus.Member;

/**
 * One member as a leader sees it.
 *
 * @param matchIndex last durable index that the member has acknowledged; 0 if this VM does not lead
 * @param leader true if the member leads as far as this VM knows
 */
public record MemberStatus(Member member, long matchIndex, boolean leader) {}
