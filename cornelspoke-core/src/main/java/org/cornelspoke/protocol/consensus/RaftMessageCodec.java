package org.cornelspoke.protocol.consensus;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.cornelspoke.coordination.consensus.RaftMessage;
import org.cornelspoke.coordination.consensus.RaftMessage.AppendRequest;
import org.cornelspoke.coordination.consensus.RaftMessage.AppendResponse;
import org.cornelspoke.coordination.consensus.RaftMessage.Heartbeat;
import org.cornelspoke.coordination.consensus.RaftMessage.HeartbeatResponse;
import org.cornelspoke.coordination.consensus.RaftMessage.IdentityLost;
import org.cornelspoke.coordination.consensus.RaftMessage.PreVoteRequest;
import org.cornelspoke.coordination.consensus.RaftMessage.PreVoteResponse;
import org.cornelspoke.coordination.consensus.RaftMessage.SnapshotRequest;
import org.cornelspoke.coordination.consensus.RaftMessage.SnapshotResponse;
import org.cornelspoke.coordination.consensus.RaftMessage.VoteRequest;
import org.cornelspoke.coordination.consensus.RaftMessage.VoteResponse;
import org.cornelspoke.coordination.consensus.SnapshotChunk;
import org.cornelspoke.state.log.EntryKind;
import org.cornelspoke.state.log.LogEntry;
import org.cornelspoke.state.log.MemberIdentity;
import org.msgpack.core.MessageBufferPacker;

/** Encodes and decodes Raft messages. Each starts with its type, sender, receiver and term. */
final class RaftMessageCodec {

  private static final int PRE_VOTE_REQUEST = 16;
  private static final int PRE_VOTE_RESPONSE = 17;
  private static final int VOTE_REQUEST = 18;
  private static final int VOTE_RESPONSE = 19;
  private static final int APPEND_REQUEST = 20;
  private static final int APPEND_RESPONSE = 21;
  private static final int HEARTBEAT = 22;
  private static final int HEARTBEAT_RESPONSE = 23;
  private static final int SNAPSHOT_REQUEST = 24;
  private static final int SNAPSHOT_RESPONSE = 25;
  private static final int IDENTITY_LOST = 26;

  private RaftMessageCodec() {}

  static void write(MessageBufferPacker out, RaftMessage message) throws IOException {
    if (message instanceof PreVoteRequest m) {
      writeHeader(out, PRE_VOTE_REQUEST, m).packLong(m.lastIndex()).packLong(m.lastTerm());
    } else if (message instanceof PreVoteResponse m) {
      writeHeader(out, PRE_VOTE_RESPONSE, m).packBoolean(m.granted());
    } else if (message instanceof IdentityLost m) {
      writeHeader(out, IDENTITY_LOST, m).packString(m.lost().value());
    } else if (message instanceof VoteRequest m) {
      writeHeader(out, VOTE_REQUEST, m).packLong(m.lastIndex()).packLong(m.lastTerm());
    } else if (message instanceof VoteResponse m) {
      writeHeader(out, VOTE_RESPONSE, m).packBoolean(m.granted());
    } else if (message instanceof AppendRequest m) {
      writeHeader(out, APPEND_REQUEST, m).packLong(m.prevIndex()).packLong(m.prevTerm());
      out.packLong(m.commitIndex()).packArrayHeader(m.entries().size());
      for (LogEntry entry : m.entries()) {
        out.packLong(entry.term()).packInt(entry.kind().code());
        PeerMessageCodec.writeBinary(out, entry.data());
      }
    } else if (message instanceof AppendResponse m) {
      writeHeader(out, APPEND_RESPONSE, m).packBoolean(m.accepted()).packLong(m.index());
      out.packLong(m.prevIndex()).packLong(m.conflictTerm());
    } else if (message instanceof Heartbeat m) {
      writeHeader(out, HEARTBEAT, m).packLong(m.commitIndex()).packLong(m.round());
    } else if (message instanceof HeartbeatResponse m) {
      writeHeader(out, HEARTBEAT_RESPONSE, m).packLong(m.round());
    } else if (message instanceof SnapshotRequest m) {
      SnapshotChunk chunk = m.chunk();
      writeHeader(out, SNAPSHOT_REQUEST, m).packLong(chunk.index()).packLong(chunk.term());
      PeerMessageCodec.writeBinary(out, chunk.membership());
      out.packLong(chunk.totalBytes()).packLong(chunk.offsetBytes());
      PeerMessageCodec.writeBinary(out, chunk.data());
    } else if (message instanceof SnapshotResponse m) {
      writeHeader(out, SNAPSHOT_RESPONSE, m).packLong(m.index()).packLong(m.nextOffsetBytes());
    }
  }

  static RaftMessage read(int type, FieldReader in) throws MalformedFrameException {
    if (type < PRE_VOTE_REQUEST || type > IDENTITY_LOST) {
      throw new MalformedFrameException("unknown message type: " + type, null);
    }
    MemberIdentity from = in.readIdentity();
    MemberIdentity to = in.readIdentity();
    long term = in.readNonNegative();
    return switch (type) {
      case PRE_VOTE_REQUEST ->
          new PreVoteRequest(from, to, term, in.readNonNegative(), in.readNonNegative());
      case PRE_VOTE_RESPONSE -> new PreVoteResponse(from, to, term, in.readBoolean());
      case VOTE_REQUEST ->
          new VoteRequest(from, to, term, in.readNonNegative(), in.readNonNegative());
      case VOTE_RESPONSE -> new VoteResponse(from, to, term, in.readBoolean());
      case APPEND_REQUEST -> readAppend(from, to, term, in);
      case APPEND_RESPONSE ->
          new AppendResponse(
              from,
              to,
              term,
              in.readBoolean(),
              in.readNonNegative(),
              in.readNonNegative(),
              in.readNonNegative());
      case HEARTBEAT -> new Heartbeat(from, to, term, in.readNonNegative(), in.readNonNegative());
      case HEARTBEAT_RESPONSE -> new HeartbeatResponse(from, to, term, in.readNonNegative());
      case SNAPSHOT_REQUEST ->
          new SnapshotRequest(
              from,
              to,
              term,
              new SnapshotChunk(
                  in.readNonNegative(),
                  in.readNonNegative(),
                  in.readBinary(),
                  in.readNonNegative(),
                  in.readNonNegative(),
                  in.readBinary()));
      case SNAPSHOT_RESPONSE ->
          new SnapshotResponse(from, to, term, in.readNonNegative(), in.readNonNegative());
      default -> new IdentityLost(from, to, term, in.readIdentity());
    };
  }

  private static AppendRequest readAppend(
      MemberIdentity from, MemberIdentity to, long term, FieldReader in)
      throws MalformedFrameException {
    long prevIndex = in.readNonNegative();
    long prevTerm = in.readNonNegative();
    long commitIndex = in.readNonNegative();
    int count = in.readArrayLength();
    List<LogEntry> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      long entryTerm = in.readNonNegative();
      EntryKind kind = EntryKind.ofCode(in.readInt());
      entries.add(new LogEntry(prevIndex + 1 + i, entryTerm, kind, in.readBinary()));
    }
    return new AppendRequest(from, to, term, prevIndex, prevTerm, entries, commitIndex);
  }

  private static MessageBufferPacker writeHeader(MessageBufferPacker out, int type, RaftMessage m)
      throws IOException {
    out.packInt(type).packString(m.from().value()).packString(m.to().value()).packLong(m.term());
    return out;
  }
}
