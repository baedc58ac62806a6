package org.cornelspoke.coordination.consensus;

import java.util.List;
import org.cornelspoke.state.log.LogEntry;
import org.cornelspoke.state.log.MemberIdentity;

/**
 * A message between two members. Each names the identity of its sender and its receiver, so that a
 * message from or to a wiped data folder is detected.
 */
public sealed interface RaftMessage {

  /** Returns the sender. */
  MemberIdentity from();

  /** Returns the receiver. */
  MemberIdentity to();

  /** Returns the sender's term; in pre-vote messages the term that the candidate would start. */
  long term();

  /** Asks whether an election in the term could succeed; the receiver's term and vote stay. */
  record PreVoteRequest(
      MemberIdentity from, MemberIdentity to, long term, long lastIndex, long lastTerm)
      implements RaftMessage {}

  /**
   * Reply to a pre-vote request.
   *
   * @param term the requested term if granted, otherwise the receiver's term
   */
  record PreVoteResponse(MemberIdentity from, MemberIdentity to, long term, boolean granted)
      implements RaftMessage {}

  /**
   * Reply of a VM to a pre-vote request for an identity that its data folder had before: that
   * folder is lost, and with it the votes and entries that the identity held.
   *
   * @param term the requested term
   * @param lost the identity to which the request was sent
   */
  record IdentityLost(MemberIdentity from, MemberIdentity to, long term, MemberIdentity lost)
      implements RaftMessage {}

  /** Requests a vote in the term. */
  record VoteRequest(
      MemberIdentity from, MemberIdentity to, long term, long lastIndex, long lastTerm)
      implements RaftMessage {}

  /** Reply to a vote request. */
  record VoteResponse(MemberIdentity from, MemberIdentity to, long term, boolean granted)
      implements RaftMessage {}

  /** Appends the entries that follow the entry at {@code prevIndex}. */
  record AppendRequest(
      MemberIdentity from,
      MemberIdentity to,
      long term,
      long prevIndex,
      long prevTerm,
      List<LogEntry> entries,
      long commitIndex)
      implements RaftMessage {}

  /**
   * Reply to an append request or an installed snapshot.
   *
   * <p>A member that cannot make its term or entries durable now replies with a receipt: accepted
   * with the index 0. It counts neither for a commit or read nor as a sign that a quorum works.
   *
   * @param index if accepted, the last durable matching index; if rejected, the index to try next
   * @param prevIndex the {@code prevIndex} of the rejected request; in a receipt the last received
   *     matching index, or 0 in reply to a heartbeat
   * @param conflictTerm if rejected, the receiver's term at {@code prevIndex}, or 0 if it has none
   */
  record AppendResponse(
      MemberIdentity from,
      MemberIdentity to,
      long term,
      boolean accepted,
      long index,
      long prevIndex,
      long conflictTerm)
      implements RaftMessage {

    /** Creates a receipt. */
    static AppendResponse receipt(
        MemberIdentity from, MemberIdentity to, long term, long receivedIndex) {
      return new AppendResponse(from, to, term, true, 0, receivedIndex, 0);
    }

    /** Returns true if this vouches for nothing durable. */
    boolean isReceipt() {
      return accepted && index == 0;
    }
  }

  /** Asserts the leader's authority; the reply repeats the round. */
  record Heartbeat(MemberIdentity from, MemberIdentity to, long term, long commitIndex, long round)
      implements RaftMessage {}

  /** Reply to a heartbeat. */
  record HeartbeatResponse(MemberIdentity from, MemberIdentity to, long term, long round)
      implements RaftMessage {}

  /** Carries one chunk of a snapshot. */
  record SnapshotRequest(MemberIdentity from, MemberIdentity to, long term, SnapshotChunk chunk)
      implements RaftMessage {}

  /** Requests the next chunk of the snapshot at the index. */
  record SnapshotResponse(
      MemberIdentity from, MemberIdentity to, long term, long index, long nextOffsetBytes)
      implements RaftMessage {}
}
