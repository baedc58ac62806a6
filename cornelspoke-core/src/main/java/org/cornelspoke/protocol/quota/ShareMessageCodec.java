package org.cornelspoke.protocol.quota;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelspoke.coordination.quota.ClassAmounts;
import org.cornelspoke.coordination.quota.Exhaustion;
import org.cornelspoke.coordination.quota.ShareFrame;
import org.cornelspoke.coordination.quota.ShareFrame.HolderReady;
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
 * Writes batches of share messages as a MessagePack array of arrays {@code [type, account, session,
 * fields...]} and reads them.
 *
 * <p>Stateless and safe for use by any thread.
 */
public final class ShareMessageCodec {

  private static final int REPORT = 1;
  private static final int GRANT = 2;
  private static final int RESET = 3;
  private static final int RECALL = 4;
  private static final int RETURN = 5;

  private static final int CARRIED = 6;
  private static final int HOLDER_READY = 7;
  private static final int ASK = 8;
  private static final int TOKENS = 9;

  private static final int REPORT_SIZE = 13;
  private static final int GRANT_SIZE = 8;
  private static final int RESET_SIZE = 3;
  private static final int RECALL_SIZE = 5;
  private static final int RETURN_SIZE = 5;
  private static final int CARRIED_SIZE = 5;
  private static final int HOLDER_READY_SIZE = 2;
  private static final int ASK_SIZE = 5;
  private static final int TOKENS_SIZE = 7;
  private static final int SHARE_SIZE = 3;
  private static final int EXHAUSTION_SIZE = 2;

  /** Classes by the number that stands for them on the wire. */
  private static final List<TrafficClass> CLASSES =
      List.of(TrafficClass.CRITICAL, TrafficClass.INTERACTIVE, TrafficClass.BULK);

  /** Leases are written in milliseconds, rounded up, which takes fewer bytes. */
  private static final long NANOS_PER_MILLI = 1_000_000;

  private ShareMessageCodec() {}

  /** Returns a batch of messages, which may be empty. */
  public static byte[] encode(List<? extends ShareFrame> batch) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(batch.size());
      for (ShareFrame message : batch) {
        write(packer, message);
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
  }

  /**
   * Reads a batch that fills the array.
   *
   * @throws IOException if the bytes are not exactly one valid batch
   */
  public static List<ShareFrame> decode(byte[] bytes) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int size = readSize(unpacker);
      List<ShareFrame> batch = new ArrayList<>();
      for (int i = 0; i < size; i++) {
        batch.add(read(unpacker));
      }
      if (unpacker.hasNext()) {
        throw new IOException("bytes after the share messages");
      }
      return batch;
    }
  }

  private static int readSize(MessageUnpacker unpacker) throws IOException {
    try {
      return unpacker.unpackArrayHeader();
    } catch (MessagePackException e) {
      throw new IOException("malformed batch of share messages", e);
    }
  }

  /** Writes a message as part of a larger frame. */
  public static void write(MessagePacker packer, ShareFrame message) throws IOException {
    if (message instanceof Report report) {
      writeHead(packer, REPORT_SIZE, REPORT, report);
      packer.packLong(report.sequence());
      writeShare(packer, report.held());
      writeShare(packer, report.returned());
      writeAmounts(packer, report.demandPerSecond());
      writeAmounts(packer, report.waiting());
      writeMillis(packer, report.remainingLeaseNanos());
    } else if (message instanceof Grant grant) {
      writeHead(packer, GRANT_SIZE, GRANT, grant);
      packer.packLong(grant.acknowledgedSequence());
      packer.packLong(grant.leaseNanos());
      writeShare(packer, grant.added());
      packer.packDouble(grant.targetBurst());
      writeExhaustion(packer, grant.exhaustion());
    } else if (message instanceof Reset reset) {
      writeHead(packer, RESET_SIZE, RESET, reset);
    } else if (message instanceof Recall recall) {
      writeHead(packer, RECALL_SIZE, RECALL, recall);
      writeShare(packer, recall.keep());
      packer.packBoolean(recall.forced());
    } else if (message instanceof Return returned) {
      writeHead(packer, RETURN_SIZE, RETURN, returned);
      packer.packLong(returned.sequence());
      writeShare(packer, returned.returned());
    } else if (message instanceof UnrecordedShare unrecorded) {
      writeHead(packer, CARRIED_SIZE, CARRIED, unrecorded);
      writeShare(packer, unrecorded.share());
      writeMillis(packer, unrecorded.remainingLeaseNanos());
    } else if (message instanceof TokenRequest request) {
      writeHead(packer, ASK_SIZE, ASK, request);
      packer.packLong(request.number());
      writeAmounts(packer, request.requests());
    } else if (message instanceof TokenReply reply) {
      writeHead(packer, TOKENS_SIZE, TOKENS, reply);
      packer.packLong(reply.number());
      packer.packInt(reply.count());
      writeMillisDown(packer, reply.usableNanos());
      writeExhaustion(packer, reply.exhaustion());
    } else if (message instanceof HolderReady ready) {
      packer.packArrayHeader(HOLDER_READY_SIZE);
      packer.packInt(HOLDER_READY);
      packer.packString(ready.holder());
    }
  }

  /**
   * Reads a message that is part of a larger frame.
   *
   * @throws IOException if the next value is not a valid message
   */
  public static ShareFrame read(MessageUnpacker unpacker) throws IOException {
    try {
      int size = unpacker.unpackArrayHeader();
      int type = unpacker.unpackInt();
      if (size != sizeOf(type)) {
        throw new IOException("share message of type " + type + " with " + size + " values");
      }
      return readBody(unpacker, type);
    } catch (RuntimeException e) {
      // The unpacker and the checks of the records report malformed values this way.
      throw new IOException("malformed share message", e);
    }
  }

  private static ShareFrame readBody(MessageUnpacker unpacker, int type) throws IOException {
    if (type == HOLDER_READY) {
      return new HolderReady(unpacker.unpackString());
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
      case CARRIED ->
          new UnrecordedShare(account, session, readShare(unpacker), readMillis(unpacker));
      case ASK -> new TokenRequest(account, session, unpacker.unpackLong(), readAmounts(unpacker));
      case TOKENS ->
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

  private static int sizeOf(int type) {
    return switch (type) {
      case REPORT -> REPORT_SIZE;
      case GRANT -> GRANT_SIZE;
      case RESET -> RESET_SIZE;
      case RECALL -> RECALL_SIZE;
      case RETURN -> RETURN_SIZE;
      case CARRIED -> CARRIED_SIZE;
      case HOLDER_READY -> HOLDER_READY_SIZE;
      case ASK -> ASK_SIZE;
      case TOKENS -> TOKENS_SIZE;
      default -> -1;
    };
  }

  private static void writeHead(MessagePacker packer, int size, int type, ShareMessage message)
      throws IOException {
    packer.packArrayHeader(size);
    packer.packInt(type);
    packer.packString(message.account().value());
    packer.packLong(message.session());
  }

  private static void writeMillis(MessagePacker packer, long nanos) throws IOException {
    packer.packLong((nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
  }

  /** Rounds down a time that must not become longer. */
  private static void writeMillisDown(MessagePacker packer, long nanos) throws IOException {
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
    packer.packArrayHeader(EXHAUSTION_SIZE);
    packer.packInt(CLASSES.indexOf(exhaustion.get().highest()));
    writeMillis(packer, exhaustion.get().nanos());
  }

  private static Optional<Exhaustion> readExhaustion(MessageUnpacker unpacker) throws IOException {
    if (unpacker.tryUnpackNil()) {
      return Optional.empty();
    }
    if (unpacker.unpackArrayHeader() != EXHAUSTION_SIZE) {
      throw new IOException("a state of an account has " + EXHAUSTION_SIZE + " values");
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

  /** Most shares are empty: nothing is returned by a report and nothing added by a renewal. */
  private static void writeShare(MessagePacker packer, TokenShare share) throws IOException {
    if (share.isEmpty()) {
      packer.packNil();
      return;
    }
    packer.packArrayHeader(SHARE_SIZE);
    packer.packDouble(share.rateTokensPerSecond());
    packer.packDouble(share.burstTokens());
    packer.packDouble(share.levelTokens());
  }

  private static TokenShare readShare(MessageUnpacker unpacker) throws IOException {
    if (unpacker.tryUnpackNil()) {
      return TokenShare.EMPTY;
    }
    if (unpacker.unpackArrayHeader() != SHARE_SIZE) {
      throw new IOException("a share has " + SHARE_SIZE + " values");
    }
    return new TokenShare(
        unpacker.unpackDouble(), unpacker.unpackDouble(), unpacker.unpackDouble());
  }
}
