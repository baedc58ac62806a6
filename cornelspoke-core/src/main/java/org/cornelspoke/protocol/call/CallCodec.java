package org.cornelspoke.protocol.call;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.model.Verdict;
import org.cornelspoke.protocol.call.CallMessage.Call;
import org.cornelspoke.protocol.call.CallMessage.CallChunk;
import org.cornelspoke.protocol.call.CallMessage.CallEnd;
import org.cornelspoke.protocol.call.CallMessage.Cancel;
import org.cornelspoke.protocol.call.CallMessage.GoAway;
import org.cornelspoke.protocol.call.CallMessage.Hello;
import org.cornelspoke.protocol.call.CallMessage.Ping;
import org.cornelspoke.protocol.call.CallMessage.Pong;
import org.cornelspoke.protocol.call.CallMessage.Refusal;
import org.cornelspoke.protocol.call.CallMessage.Reply;
import org.cornelspoke.protocol.call.CallMessage.ReplyChunk;
import org.cornelspoke.protocol.call.CallMessage.ReplyEnd;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes link messages as MessagePack arrays {@code [type, correlationId, fields...]}.
 *
 * <p>Reuses an output buffer and a cache of names. Not safe for use by several threads.
 */
public final class CallCodec {

  /**
   * Maximum number of body bytes in one message, so that a large body does not delay the messages
   * of other calls on the link.
   */
  public static final int CHUNK_BYTES = 64 << 10;

  /** Maximum body length in bytes that a peer may announce. */
  public static final int MAX_BODY_BYTES = 64 << 20;

  /** A status below is one of an interim response, or of none. */
  private static final int MIN_FINAL_STATUS = 200;

  /** A status has three digits; those that HTTP does not define are returned unchanged. */
  private static final int MAX_STATUS = 999;

  private static final int HELLO = 0;
  private static final int CALL = 1;
  private static final int CALL_CHUNK = 2;
  private static final int CALL_END = 3;
  private static final int REPLY = 4;
  private static final int REPLY_CHUNK = 5;
  private static final int REPLY_END = 6;
  private static final int REFUSAL = 7;
  private static final int CANCEL = 8;
  private static final int PING = 9;
  private static final int PONG = 10;
  private static final int GO_AWAY = 11;

  /** Limits the memory that a peer can occupy by continually sending new names. */
  private static final int MAX_CACHED_NAMES = 10_000;

  private static final Map<String, RefusalReason> REASONS_BY_CODE = reasonsByCode();

  private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
  private final Map<String, ServiceName> services = new HashMap<>();
  private final Map<String, AccountId> accounts = new HashMap<>();

  /** Returns the encoded message. */
  public byte[] encode(CallMessage message) {
    packer.clear();
    try {
      write(message);
    } catch (IOException e) {
      throw new IllegalStateException("encoding into memory failed", e);
    }
    return packer.toByteArray();
  }

  /**
   * Decodes a message.
   *
   * @throws ProtocolException if the bytes are not exactly one valid message
   */
  public CallMessage decode(byte[] frame) throws ProtocolException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(frame)) {
      int fieldCount = in.unpackArrayHeader();
      int type = in.unpackInt();
      long id = in.unpackLong();
      CallMessage message = readMessage(in, type, id);
      if (fieldCount != fieldCount(type) || in.hasNext()) {
        throw new ProtocolException(
            "message of type " + type + " has the wrong number of fields or trailing bytes");
      }
      return message;
    } catch (ProtocolException e) {
      throw e;
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw new ProtocolException("malformed message", e);
    }
  }

  private void write(CallMessage message) throws IOException {
    if (message instanceof Call call) {
      writeCall(call);
    } else if (message instanceof Reply reply) {
      writeReply(reply);
    } else if (message instanceof Refusal refusal) {
      writeHeader(REFUSAL, refusal.correlationId());
      packer.packString(refusal.reason().code());
      packer.packBoolean(refusal.verdict() == Verdict.NOT_RUN);
      packer.packLong(refusal.retryAfterMillis());
      packer.packInt(refusal.unusedAttempts());
      packer.packInt(refusal.downstreamCalls());
      writeLoad(refusal.load());
    } else if (message instanceof CallChunk chunk) {
      writeHeader(CALL_CHUNK, chunk.correlationId());
      writeBinary(chunk.chunk());
    } else if (message instanceof ReplyChunk chunk) {
      writeHeader(REPLY_CHUNK, chunk.correlationId());
      writeBinary(chunk.chunk());
    } else if (message instanceof CallEnd end) {
      writeHeader(CALL_END, end.correlationId());
    } else if (message instanceof ReplyEnd end) {
      writeHeader(REPLY_END, end.correlationId());
    } else if (message instanceof Cancel cancel) {
      writeHeader(CANCEL, cancel.correlationId());
    } else if (message instanceof Ping ping) {
      writeHeader(PING, ping.number());
    } else if (message instanceof Pong pong) {
      writeHeader(PONG, pong.number());
    } else if (message instanceof Hello hello) {
      writeHeader(HELLO, 0);
      packer.packString(hello.magic());
      packer.packInt(hello.version());
      packer.packString(hello.peerId());
    } else if (message instanceof GoAway) {
      writeHeader(GO_AWAY, 0);
    }
  }

  private void writeCall(Call call) throws IOException {
    CallHead head = call.head();
    writeHeader(CALL, call.correlationId());
    packer.packString(head.service().value());
    packer.packString(head.method());
    packer.packString(head.requestTarget());
    packer.packString(head.account().value());
    packer.packInt(head.weight());
    packer.packString(head.trafficClass().name());
    packer.packLong(head.revision().number());
    packer.packLong(head.remainingMillis());
    packer.packInt(head.extraAttempts());
    writeBinary(MetadataHeaders.add(head.headers(), head.metadata()).block());
    packer.packInt(call.bodyBytes());
    writeBinary(call.chunk());
  }

  private void writeReply(Reply reply) throws IOException {
    writeHeader(REPLY, reply.correlationId());
    packer.packInt(reply.status());
    writeBinary(MetadataHeaders.add(reply.headers(), reply.metadata()).block());
    packer.packInt(reply.unusedAttempts());
    packer.packInt(reply.downstreamCalls());
    writeLoad(reply.load());
    packer.packInt(reply.bodyBytes());
    writeBinary(reply.chunk());
  }

  private void writeHeader(int type, long id) throws IOException {
    packer.packArrayHeader(fieldCount(type));
    packer.packInt(type);
    packer.packLong(id);
  }

  private void writeLoad(GateLoad load) throws IOException {
    packer.packInt(load.inFlight());
    packer.packInt(load.queued());
    packer.packInt(load.limit());
    packer.packInt(load.pressurePercent());
  }

  private void writeBinary(byte[] bytes) throws IOException {
    packer.packBinaryHeader(bytes.length);
    packer.writePayload(bytes);
  }

  private CallMessage readMessage(MessageUnpacker in, int type, long id) throws IOException {
    return switch (type) {
      case HELLO -> new Hello(in.unpackString(), in.unpackInt(), in.unpackString());
      case CALL -> new Call(id, readHead(in), readBodyLength(in), readBinary(in));
      case CALL_CHUNK -> new CallChunk(id, readBinary(in));
      case CALL_END -> new CallEnd(id);
      case REPLY -> readReply(in, id);
      case REPLY_CHUNK -> new ReplyChunk(id, readBinary(in));
      case REPLY_END -> new ReplyEnd(id);
      case REFUSAL ->
          new Refusal(
              id,
              readReason(in),
              in.unpackBoolean() ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
              in.unpackLong(),
              in.unpackInt(),
              in.unpackInt(),
              readLoad(in));
      case CANCEL -> new Cancel(id);
      case PING -> new Ping(id);
      case PONG -> new Pong(id);
      case GO_AWAY -> new GoAway();
      default -> throw new ProtocolException("unknown message type: " + type);
    };
  }

  private CallHead readHead(MessageUnpacker in) throws IOException {
    ServiceName service = cached(services, in.unpackString(), ServiceName::new);
    String method = checkedRequestLineField(in.unpackString());
    String requestTarget = checkedRequestLineField(in.unpackString());
    AccountId account = cached(accounts, in.unpackString(), AccountId::new);
    int weight = in.unpackInt();
    TrafficClass trafficClass = TrafficClass.valueOf(in.unpackString());
    Revision revision = new Revision(in.unpackLong());
    long remainingMillis = in.unpackLong();
    int extraAttempts = in.unpackInt();
    Headers headers = readHeaders(in);
    return new CallHead(
        service,
        method,
        requestTarget,
        account,
        weight,
        trafficClass,
        revision,
        remainingMillis,
        extraAttempts,
        MetadataHeaders.strip(headers),
        MetadataHeaders.readCall(headers));
  }

  private static Reply readReply(MessageUnpacker in, long id) throws IOException {
    int status = in.unpackInt();
    if (status < MIN_FINAL_STATUS || status > MAX_STATUS) {
      throw new ProtocolException("status out of range: " + status);
    }
    Headers headers = readHeaders(in);
    return new Reply(
        id,
        status,
        MetadataHeaders.strip(headers),
        in.unpackInt(),
        in.unpackInt(),
        readLoad(in),
        MetadataHeaders.readReply(headers),
        readBodyLength(in),
        readBinary(in));
  }

  /**
   * Checks a method or request target. Both are written into the HTTP request line, where a space
   * or control character would allow request injection.
   */
  private static String checkedRequestLineField(String text) throws ProtocolException {
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c <= ' ' || c >= 0x7f) {
        throw new ProtocolException("method or request target has a forbidden character");
      }
    }
    return text;
  }

  private static Headers readHeaders(MessageUnpacker in) throws IOException {
    byte[] block = readBinary(in);
    return Headers.parse(block, 0, block.length);
  }

  private static byte[] readBinary(MessageUnpacker in) throws IOException {
    int length = in.unpackBinaryHeader();
    if (length > 1 << 20) {
      throw new ProtocolException("binary field exceeds the maximum frame size");
    }
    return in.readPayload(length);
  }

  private static int readBodyLength(MessageUnpacker in) throws IOException {
    int length = in.unpackInt();
    if (length < 0 || length > MAX_BODY_BYTES) {
      throw new ProtocolException("body length out of range: " + length);
    }
    return length;
  }

  private static GateLoad readLoad(MessageUnpacker in) throws IOException {
    return new GateLoad(in.unpackInt(), in.unpackInt(), in.unpackInt(), in.unpackInt());
  }

  private static RefusalReason readReason(MessageUnpacker in) throws IOException {
    RefusalReason reason = REASONS_BY_CODE.get(in.unpackString());
    if (reason == null) {
      throw new ProtocolException("unknown refusal reason");
    }
    return reason;
  }

  private static <T> T cached(
      Map<String, T> cache, String text, java.util.function.Function<String, T> constructor) {
    T value = cache.get(text);
    if (value == null) {
      value = constructor.apply(text);
      if (cache.size() >= MAX_CACHED_NAMES) {
        cache.clear();
      }
      cache.put(text, value);
    }
    return value;
  }

  private static int fieldCount(int type) {
    return switch (type) {
      case CALL -> 14;
      case REPLY -> 12;
      case REFUSAL -> 11;
      case HELLO -> 5;
      case CALL_CHUNK, REPLY_CHUNK -> 3;
      default -> 2;
    };
  }

  private static Map<String, RefusalReason> reasonsByCode() {
    Map<String, RefusalReason> reasons = new HashMap<>();
    for (RefusalReason reason : RefusalReason.values()) {
      reasons.put(reason.code(), reason);
    }
    return Map.copyOf(reasons);
  }
}
