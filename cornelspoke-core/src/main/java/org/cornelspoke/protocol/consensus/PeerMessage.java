package org.cornelspoke.protocol.consensus;

import java.nio.ByteBuffer;
import java.util.List;
import org.cornelspoke.coordination.consensus.RaftMessage;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.log.MemberIdentity;

/**
 * One frame between two control VMs. Byte buffers are backed by an array that holds exactly the
 * content.
 */
public sealed interface PeerMessage {

  /**
   * First frame of each connection.
   *
   * @param blank true if the sender has neither a log nor a snapshot
   */
  record Hello(VmId vmId, MemberIdentity identity, Endpoint peerAddress, boolean blank)
      implements PeerMessage {}

  /** A message of the Raft algorithm. */
  record Raft(RaftMessage message) implements PeerMessage {}

  /** Asks the leader to append a command. */
  record ProposeCall(long callId, ByteBuffer command) implements PeerMessage {}

  /** The forwarded command is committed at the index. */
  record ProposeCommitted(long callId, long index, ByteBuffer result) implements PeerMessage {}

  /**
   * The forwarded command has no result.
   *
   * @param notAppended true if it certainly was not appended, false if that is unknown
   */
  record ProposeFailed(long callId, boolean notAppended, String cause) implements PeerMessage {}

  /** Asks the leader for a read index. */
  record ReadCall(long callId) implements PeerMessage {}

  /** Answer to a read call. */
  record ReadReply(long callId, boolean confirmed, long index) implements PeerMessage {}

  /** Asks for a {@link Pong} on the same connection. */
  record Ping() implements PeerMessage {}

  /** Shows that the receiver of a {@link Ping} is reachable. */
  record Pong() implements PeerMessage {}

  /** Tells a VM that has connected which VMs are members, so that it can reach the leader. */
  record Members(List<Address> addresses) implements PeerMessage {

    /** Name and peer address of a member. */
    public record Address(VmId vmId, Endpoint endpoint) {}

    /** Copies the list. */
    public Members {
      addresses = List.copyOf(addresses);
    }
  }
}
