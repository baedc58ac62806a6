package org.cornelspoke.protocol.consensus;

import java.nio.ByteBuffer;
import java.util.List;
import org.cornelspoke.coordination.consensus.RaftMessage;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.log.MemberIdentity;

/**
 * Message between two control VMs, sent as one frame. Each byte buffer must be backed by an array
 * that contains exactly the content.
 */
public sealed interface PeerMessage {

  /**
   * First message of each connection.
   *
   * @param withoutState true if the sender has neither a log nor a snapshot
   */
  record Hello(VmId vmId, MemberIdentity identity, Endpoint peerAddress, boolean withoutState)
      implements PeerMessage {}

  /** Carries a Raft message. */
  record Raft(RaftMessage message) implements PeerMessage {}

  /** Forwards a command that the leader is to append. */
  record ProposeRequest(long requestId, ByteBuffer command) implements PeerMessage {}

  /** Reports that the forwarded command was committed at the index. */
  record ProposeCommitted(long requestId, long index, ByteBuffer result) implements PeerMessage {}

  /**
   * Reports that the forwarded command has no result.
   *
   * @param notAppended true if the command was not appended, false if that is unknown
   */
  record ProposeFailed(long requestId, boolean notAppended, String cause) implements PeerMessage {}

  /** Requests a read index from the leader. */
  record ReadRequest(long requestId) implements PeerMessage {}

  /** Reply to a {@link ReadRequest}. */
  record ReadReply(long requestId, boolean confirmed, long index) implements PeerMessage {}

  /** Requests a {@link Pong} on the same connection. */
  record Ping() implements PeerMessage {}

  /** Replies to a {@link Ping} and thereby shows that its receiver is reachable. */
  record Pong() implements PeerMessage {}

  /** Sends the members to a VM that has connected, so that it can find the leader. */
  record Members(List<Address> addresses) implements PeerMessage {

    /** Id and peer address of a member. */
    public record Address(VmId vmId, Endpoint endpoint) {}

    /** Copies the list. */
    public Members {
      addresses = List.copyOf(addresses);
    }
  }
}
