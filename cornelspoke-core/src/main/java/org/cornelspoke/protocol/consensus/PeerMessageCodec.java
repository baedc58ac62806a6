package org.cornelspoke.protocol.consensus;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.VmId;
import org.cornelspoke.protocol.consensus.PeerMessage.Hello;
import org.cornelspoke.protocol.consensus.PeerMessage.ProposeCommitted;
import org.cornelspoke.protocol.consensus.PeerMessage.ProposeFailed;
import org.cornelspoke.protocol.consensus.PeerMessage.ProposeRequest;
import org.cornelspoke.protocol.consensus.PeerMessage.Raft;
import org.cornelspoke.protocol.consensus.PeerMessage.ReadReply;
import org.cornelspoke.protocol.consensus.PeerMessage.ReadRequest;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Encodes {@link PeerMessage}s as MessagePack: a type number followed by the fields. Lengths are
 * validated against the frame size before memory is allocated. Stateless and safe for use by any
 * thread.
 */
public final class PeerMessageCodec {

  private static final String MAGIC = "cornelspoke-peer";
  private static final int VERSION = 1;
  private static final int HELLO = 1;
  private static final int PROPOSE_REQUEST = 2;
  private static final int PROPOSE_COMMITTED = 3;
  private static final int PROPOSE_FAILED = 4;
  private static final int READ_REQUEST = 5;
  private static final int READ_REPLY = 6;
  private static final int PING = 7;
  private static final int PONG = 8;
  private static final int MEMBERS = 9;
  private static final int MAX_MEMBERS = 1_000;

  private PeerMessageCodec() {}

  /** Encodes a message as one frame. */
  public static byte[] encode(PeerMessage message) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      write(out, message);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("encoding into memory failed", e);
    }
  }

  /**
   * Decodes one frame.
   *
   * @throws MalformedFrameException if the type is unknown, a field is missing or out of range, or
   *     bytes follow the last field
   */
  public static PeerMessage decode(byte[] frame) throws MalformedFrameException {
    try (FieldReader in = new FieldReader(frame)) {
      PeerMessage message = read(in);
      in.checkEnd();
      return message;
    } catch (IllegalArgumentException e) {
      throw new MalformedFrameException("field out of range", e);
    }
  }

  private static void write(MessageBufferPacker out, PeerMessage message) throws IOException {
    if (message instanceof Raft m) {
      RaftMessageCodec.write(out, m.message());
    } else if (message instanceof Hello m) {
      out.packInt(HELLO).packString(MAGIC).packInt(VERSION);
      out.packString(m.vmId().value()).packString(m.identity().value());
      out.packString(m.peerAddress().toString()).packBoolean(m.withoutState());
    } else if (message instanceof ProposeRequest m) {
      out.packInt(PROPOSE_REQUEST).packLong(m.requestId());
      writeBinary(out, m.command().array());
    } else if (message instanceof ProposeCommitted m) {
      out.packInt(PROPOSE_COMMITTED).packLong(m.requestId()).packLong(m.index());
      writeBinary(out, m.result().array());
    } else if (message instanceof ProposeFailed m) {
      out.packInt(PROPOSE_FAILED).packLong(m.requestId()).packBoolean(m.notAppended());
      out.packString(m.cause());
    } else if (message instanceof ReadRequest m) {
      out.packInt(READ_REQUEST).packLong(m.requestId());
    } else if (message instanceof ReadReply m) {
      out.packInt(READ_REPLY)
          .packLong(m.requestId())
          .packBoolean(m.confirmed())
          .packLong(m.index());
    } else if (message instanceof PeerMessage.Ping) {
      out.packInt(PING);
    } else if (message instanceof PeerMessage.Pong) {
      out.packInt(PONG);
    } else if (message instanceof PeerMessage.Members m) {
      out.packInt(MEMBERS).packInt(m.addresses().size());
      for (PeerMessage.Members.Address address : m.addresses()) {
        out.packString(address.vmId().value()).packString(address.endpoint().toString());
      }
    }
  }

  private static PeerMessage read(FieldReader in) throws MalformedFrameException {
    int type = in.readInt();
    return switch (type) {
      case HELLO -> readHello(in);
      case PROPOSE_REQUEST -> new ProposeRequest(in.readLong(), ByteBuffer.wrap(in.readBinary()));
      case PROPOSE_COMMITTED ->
          new ProposeCommitted(in.readLong(), in.readLong(), ByteBuffer.wrap(in.readBinary()));
      case PROPOSE_FAILED -> new ProposeFailed(in.readLong(), in.readBoolean(), in.readText());
      case READ_REQUEST -> new ReadRequest(in.readLong());
      case READ_REPLY -> new ReadReply(in.readLong(), in.readBoolean(), in.readLong());
      case PING -> new PeerMessage.Ping();
      case PONG -> new PeerMessage.Pong();
      case MEMBERS -> readMembers(in);
      default -> new Raft(RaftMessageCodec.read(type, in));
    };
  }

  private static PeerMessage.Members readMembers(FieldReader in) throws MalformedFrameException {
    int count = in.readInt();
    if (count < 0 || count > MAX_MEMBERS) {
      throw new MalformedFrameException("number of members out of range", null);
    }
    List<PeerMessage.Members.Address> addresses = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      addresses.add(
          new PeerMessage.Members.Address(new VmId(in.readText()), Endpoint.parse(in.readText())));
    }
    return new PeerMessage.Members(addresses);
  }

  private static Hello readHello(FieldReader in) throws MalformedFrameException {
    if (!in.readText().equals(MAGIC) || in.readInt() != VERSION) {
      throw new MalformedFrameException(
          "peer does not use this version of the peer protocol", null);
    }
    return new Hello(
        new VmId(in.readText()),
        in.readIdentity(),
        Endpoint.parse(in.readText()),
        in.readBoolean());
  }

  static void writeBinary(MessageBufferPacker out, byte[] bytes) throws IOException {
    out.packBinaryHeader(bytes.length).writePayload(bytes);
  }
}
