package org.cornelspoke.daemon.consensus;

import java.nio.ByteBuffer;
import java.util.function.BiConsumer;
import org.cornelspoke.coordination.consensus.RaftSettings;
import org.cornelspoke.coordination.consensus.ReplicatedLog.ProposalListener;
import org.cornelspoke.coordination.consensus.ReplicatedLog.ReadListener;
import org.cornelspoke.model.VmId;
import org.cornelspoke.protocol.consensus.PeerMessage;

/** Handles proposals and reads that other VMs forward to this VM as the presumed leader. */
final class ForwardedRequestHandler {

  /** Operations on the local node; both return false and ignore the listener if it is no leader. */
  interface Operations {
    boolean proposeIfLeader(byte[] command, ProposalListener listener);

    boolean readIfLeader(ReadListener listener);
  }

  private final VmId self;
  private final Operations operations;
  private final BiConsumer<VmId, PeerMessage> sender;

  ForwardedRequestHandler(VmId self, Operations operations, BiConsumer<VmId, PeerMessage> sender) {
    this.self = self;
    this.operations = operations;
    this.sender = sender;
  }

  /** Handles a proposal or a read; other messages are ignored. */
  void onMessage(VmId from, PeerMessage message) {
    if (message instanceof PeerMessage.ProposeRequest call) {
      onProposeCall(from, call);
    } else if (message instanceof PeerMessage.ReadRequest call) {
      onReadCall(from, call);
    }
  }

  private void onProposeCall(VmId from, PeerMessage.ProposeRequest call) {
    ProposalListener reply = new ProposalReply(from, call.requestId());
    if (!operations.proposeIfLeader(call.command().array(), reply)) {
      reply.onNotAppended(self + " does not lead");
    }
  }

  private void onReadCall(VmId from, PeerMessage.ReadRequest call) {
    ReadListener reply = new ReadReply(from, call.requestId());
    if (!operations.readIfLeader(reply)) {
      reply.onUnavailable(self + " does not lead");
    }
  }

  private final class ProposalReply implements ProposalListener {
    private final VmId from;
    private final long callId;

    ProposalReply(VmId from, long callId) {
      this.from = from;
      this.callId = callId;
    }

    @Override
    public void onCommitted(long index, byte[] result) {
      if (result.length > RaftSettings.MAX_COMMAND_BYTES) {
        onUnknown("the result is too large for a frame");
        return;
      }
      sender.accept(from, new PeerMessage.ProposeCommitted(callId, index, ByteBuffer.wrap(result)));
    }

    @Override
    public void onNotAppended(String cause) {
      sender.accept(from, new PeerMessage.ProposeFailed(callId, true, cause));
    }

    @Override
    public void onUnknown(String cause) {
      sender.accept(from, new PeerMessage.ProposeFailed(callId, false, cause));
    }
  }

  private final class ReadReply implements ReadListener {
    private final VmId from;
    private final long callId;

    ReadReply(VmId from, long callId) {
      this.from = from;
      this.callId = callId;
    }

    @Override
    public void onCurrent(long index) {
      sender.accept(from, new PeerMessage.ReadReply(callId, true, index));
    }

    @Override
    public void onUnavailable(String cause) {
      sender.accept(from, new PeerMessage.ReadReply(callId, false, 0));
    }
  }
}
