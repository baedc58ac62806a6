package org.cornelspoke.protocol.quota;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelspoke.coordination.quota.ClassAmounts;
import org.cornelspoke.coordination.quota.Exhaustion;
import org.cornelspoke.coordination.quota.ShareFrame;
import org.cornelspoke.coordination.quota.ShareFrame.HolderReady;
import org.cornelspoke.coordination.quota.ShareFrame.RelayReady;
import org.cornelspoke.coordination.quota.ShareMessage;
import org.cornelspoke.coordination.quota.ShareMessage.Grant;
import org.cornelspoke.coordination.quota.ShareMessage.Recall;
import org.cornelspoke.coordination.quota.ShareMessage.Report;
import org.cornelspoke.coordination.quota.ShareMessage.Reset;
import org.cornelspoke.coordination.quota.ShareMessage.Return;
import org.cornelspoke.coordination.quota.ShareMessage.TokenReply;
import org.cornelspoke.coordination.quota.ShareMessage.TokenRequest;
import org.cornelspoke.coordination.quota.ShareMessage.UnrecordedShare;
import org.cornelspoke.coordination.quota.TokenShare;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes batches of share messages as a MessagePack array of arrays {@code [type, account,
 * session, fields...]} and decodes them.
 *
 * <p>Stateless and safe for use by any thread.
 */
public final class ShareMessageCodec {

  private static final int REPORT = 1;
  private static final int GRANT = 2;
  private static final int RESET = 3;
  private static final int RECALL = 4;
  private static final int RETURN = 5;

  private static final int UNRECORDED_SHARE = 6;
  private static final int HOLDER_READY = 7;
  private static final int TOKEN_REQUEST = 8;
  private static final int TOKEN_REPLY = 9;

  private static final int REPORT_FIELDS = 13;
  private static final int GRANT_FIELDS = 8;
  private static final int RESET_FIELDS = 3;
  private static final int RECALL_FIELDS = 5;
  private static final int RETURN_FIELDS = 5;
  private static final int UNRECORDED_SHARE_FIELDS = 5;
  private static final int HOLDER_READY_FIELDS = 2;
  private static final int TOKEN_REQUEST_FIELDS = 5;
  private static final int TOKEN_REPLY_FIELDS = 7;
  private static final int SHARE_FIELDS = 3;

  /**
   * Separates the fields of a {@link RelayReady}, which is sent as the holder's name in a {@link
   * HolderReady}: the previous build takes it for a daemon that nobody waits for, but closes the
   * connection on an unknown type. No daemon's name contains this character.
   */
  private static final char RELAY_READY_SEPARATOR = '=';

  private static final int EXHAUSTION_FIELDS = 2;

  /** Traffic classes by their code on the wire, which is the index. */
  private static final List<TrafficClass> CLASSES =
      List.of(TrafficClass.CRITICAL, TrafficClass.INTERACTIVE, TrafficClass.BULK);

  /** Most durations are sent in milliseconds, which take fewer bytes than nanoseconds. */
  private static final long NANOS_PER_MILLI = 1_000_000;

  private ShareMessageCodec() {}

  /** Encodes a batch of messages, which may be empty. */
  public static byte[] encode(List<? extends ShareFrame> batch) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(batch.size());
      for (ShareFrame message : batch) {
        write(packer, message);
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("encoding into memory failed", e);
    }
  }

  /**
   * Decodes a batch that occupies the whole array.
   *
   * @throws IOException if the bytes are not exactly one valid batch
   */
  public static List<ShareFrame> decode(byte[] bytes) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int size = readBatchSize(unpacker);
      List<ShareFrame> batch = new ArrayList<>();
      for (int i = 0; i < size; i++) {
        batch.add(read(unpacker));
      }
      if (unpacker.hasNext()) {
        throw new IOException("unexpected bytes after the last share message");
      }
      return batch;
    }
  }

  private static int readBatchSize(MessageUnpacker unpacker) throws IOException {
    try {
      return unpacker.unpackArrayHeader();
    } catch (MessagePackException e) {
      throw new IOException("malformed batch of share messages", e);
    }
  }

  /** Encodes a message as part of a larger frame. */
  public static void write(MessagePacker packer, ShareFrame message) throws IOException {
    if (message instanceof Report report) {
      writeHeader(packer, REPORT_FIELDS, REPORT, report);
      packer.packLong(report.sequence());
      writeShare(packer, report.held());
      writeShare(packer, report.returned());
      writeAmounts(packer, report.demandPerSecond());
      writeAmounts(packer, report.waiting());
      writeMillisRoundedUp(packer, report.remainingLeaseNanos());
    } else if (message instanceof Grant grant) {
      writeHeader(packer, GRANT_FIELDS, GRANT, grant);
      packer.packLong(grant.acknowledgedSequence());
      packer.packLong(grant.leaseNanos());
      writeShare(packer, grant.added());
      packer.packDouble(grant.targetBurst());
      writeExhaustion(packer, grant.exhaustion());
    } else if (message instanceof Reset reset) {
      writeHeader(packer, RESET_FIELDS, RESET, reset);
    } else if (message instanceof Recall recall) {
      writeHeader(packer, RECALL_FIELDS, RECALL, recall);
      writeShare(packer, recall.keep());
      packer.packBoolean(recall.forced());
    } else if (message instanceof Return returned) {
      writeHeader(packer, RETURN_FIELDS, RETURN, returned);
      packer.packLong(returned.sequence());
      writeShare(packer, returned.returned());
    } else if (message instanceof UnrecordedShare unrecorded) {
      writeHeader(packer, UNRECORDED_SHARE_FIELDS, UNRECORDED_SHARE, unrecorded);
      writeShare(packer, unrecorded.share());
      writeMillisRoundedUp(packer, unrecorded.remainingLeaseNanos());
    } else if (message instanceof TokenRequest request) {
      writeHeader(packer, TOKEN_REQUEST_FIELDS, TOKEN_REQUEST, request);
      packer.packLong(request.number());
      writeAmounts(packer, request.requests());
    } else if (message instanceof TokenReply reply) {
      writeHeader(packer, TOKEN_REPLY_FIELDS, TOKEN_REPLY, reply);
      packer.packLong(reply.number());
      packer.packInt(reply.count());
      writeMillisRoundedDown(packer, reply.usableNanos());
      writeExhaustion(packer, reply.exhaustion());
    } else if (message instanceof HolderReady ready) {
      packer.packArrayHeader(HOLDER_READY_FIELDS);
      packer.packInt(HOLDER_READY);
      packer.packString(ready.holder());
    } else if (message instanceof RelayReady ready) {
      packer.packArrayHeader(HOLDER_READY_FIELDS);
      packer.packInt(HOLDER_READY);
      packer.packString(ready.relay() + RELAY_READY_SEPARATOR + ready.unknownMillis());
    }
  }

  /**
   * Decodes a message that is part of a larger frame.
   *
   * @throws IOException if the next value is not a valid message
   */
  public static ShareFrame read(MessageUnpacker unpacker) throws IOException {
    try {
      int fieldCount = unpacker.unpackArrayHeader();
      int type = unpacker.unpackInt();
      if (fieldCount != fieldCount(type)) {
        throw new IOException("share message of type " + type + " has " + fieldCount + " fields");
      }
      return readFields(unpacker, type);
    } catch (RuntimeException e) {
      // The unpacker and the record constructors throw unchecked exceptions for malformed values.
      throw new IOException("malformed share message", e);
    }
  }

  private static ShareFrame readReady(String name) throws IOException {
    int separator = name.indexOf(RELAY_READY_SEPARATOR);
    if (separator < 0) {
      return new HolderReady(name);
    }
    try {
      return new RelayReady(
          name.substring(0, separator), Long.parseLong(name.substring(separator + 1)));
    } catch (IllegalArgumentException e) {
      throw new IOException("malformed statement of a relay: " + name, e);
    }
  }

  private static ShareFrame readFields(MessageUnpacker unpacker, int type) throws IOException {
    if (type == HOLDER_READY) {
      return readReady(unpacker.unpackString());
    }
    AccountId account = new AccountId(unpacker.unpackString());
    long session = unpacker.unpackLong();
    return switch (type) {
      case REPORT ->
          new Report(
              account,
              session,
              unpacker.unpackLong(),
              readShare(unpacker),
              readShare(unpacker),
              readAmounts(unpacker),
              readAmounts(unpacker),
              readMillis(unpacker));
      case GRANT ->
          new Grant(
              account,
              session,
              unpacker.unpackLong(),
              unpacker.unpackLong(),
              readShare(unpacker),
              unpacker.unpackDouble(),
              readExhaustion(unpacker));
      case RESET -> new Reset(account, session);
      case RECALL -> new Recall(account, session, readShare(unpacker), unpacker.unpackBoolean());
      case UNRECORDED_SHARE ->
          new UnrecordedShare(account, session, readShare(unpacker), readMillis(unpacker));
      case TOKEN_REQUEST ->
          new TokenRequest(account, session, unpacker.unpackLong(), readAmounts(unpacker));
      case TOKEN_REPLY ->
          new TokenReply(
              account,
              session,
              unpacker.unpackLong(),
              unpacker.unpackInt(),
              readMillis(unpacker),
              readExhaustion(unpacker));
      default -> new Return(account, session, unpacker.unpackLong(), readShare(unpacker));
    };
  }

  private static int fieldCount(int type) {
    return switch (type) {
      case REPORT -> REPORT_FIELDS;
      case GRANT -> GRANT_FIELDS;
      case RESET -> RESET_FIELDS;
      case RECALL -> RECALL_FIELDS;
      case RETURN -> RETURN_FIELDS;
      case UNRECORDED_SHARE -> UNRECORDED_SHARE_FIELDS;
      case HOLDER_READY -> HOLDER_READY_FIELDS;
      case TOKEN_REQUEST -> TOKEN_REQUEST_FIELDS;
      case TOKEN_REPLY -> TOKEN_REPLY_FIELDS;
      default -> -1;
    };
  }

  private static void writeHeader(MessagePacker packer, int size, int type, ShareMessage message)
      throws IOException {
    packer.packArrayHeader(size);
    packer.packInt(type);
    packer.packString(message.account().value());
    packer.packLong(message.session());
  }

  /** Writes a duration that must not become shorter by rounding. */
  private static void writeMillisRoundedUp(MessagePacker packer, long nanos) throws IOException {
    packer.packLong((nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
  }

  /** Writes a duration that must not become longer by rounding. */
  private static void writeMillisRoundedDown(MessagePacker packer, long nanos) throws IOException {
    packer.packLong(nanos / NANOS_PER_MILLI);
  }

  private static long readMillis(MessageUnpacker unpacker) throws IOException {
    return Math.multiplyExact(unpacker.unpackLong(), NANOS_PER_MILLI);
  }

  private static void writeExhaustion(MessagePacker packer, Optional<Exhaustion> exhaustion)
      throws IOException {
    if (exhaustion.isEmpty()) {
      packer.packNil();
      return;
    }
    packer.packArrayHeader(EXHAUSTION_FIELDS);
    packer.packInt(CLASSES.indexOf(exhaustion.get().highest()));
    writeMillisRoundedUp(packer, exhaustion.get().nanos());
  }

  private static Optional<Exhaustion> readExhaustion(MessageUnpacker unpacker) throws IOException {
    if (unpacker.tryUnpackNil()) {
      return Optional.empty();
    }
    if (unpacker.unpackArrayHeader() != EXHAUSTION_FIELDS) {
      throw new IOException("exhaustion must have " + EXHAUSTION_FIELDS + " fields");
    }
    return Optional.of(new Exhaustion(CLASSES.get(unpacker.unpackInt()), readMillis(unpacker)));
  }

  private static void writeAmounts(MessagePacker packer, ClassAmounts amounts) throws IOException {
    packer.packFloat((float) amounts.critical());
    packer.packFloat((float) amounts.interactive());
    packer.packFloat((float) amounts.bulk());
  }

  private static ClassAmounts readAmounts(MessageUnpacker unpacker) throws IOException {
    return new ClassAmounts(unpacker.unpackFloat(), unpacker.unpackFloat(), unpacker.unpackFloat());
  }

  /** Writes nil for an empty share: most reports return nothing and most renewals add nothing. */
  private static void writeShare(MessagePacker packer, TokenShare share) throws IOException {
    if (share.isEmpty()) {
      packer.packNil();
      return;
    }
    packer.packArrayHeader(SHARE_FIELDS);
    packer.packDouble(share.rateTokensPerSecond());
    packer.packDouble(share.burstTokens());
    packer.packDouble(share.levelTokens());
  }

  private static TokenShare readShare(MessageUnpacker unpacker) throws IOException {
    if (unpacker.tryUnpackNil()) {
      return TokenShare.EMPTY;
    }
    if (unpacker.unpackArrayHeader() != SHARE_FIELDS) {
      throw new IOException("share must have " + SHARE_FIELDS + " fields");
    }
    return new TokenShare(
        unpacker.unpackDouble(), unpacker.unpackDouble(), unpacker.unpackDouble());
  }
}
