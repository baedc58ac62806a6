package org.cornelspoke.state.log;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes the MessagePack payloads of stored records. */
final class RecordPayloads {

  private static final int VERSION = 1;

  private RecordPayloads() {}

  /** Contents of the {@code meta} file. */
  record Meta(MemberIdentity identity, HardState hardState) {}

  static byte[] packSegmentHeader(long number) throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(VERSION).packLong(number);
      return packer.toByteArray();
    }
  }

  static void checkSegmentHeader(byte[] payload, long number) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
      checkVersion(unpacker);
      if (unpacker.unpackLong() != number) {
        throw new IOException("segment number differs from the file name");
      }
    } catch (MessagePackException e) {
      throw new IOException("unreadable segment header", e);
    }
  }

  static byte[] packMeta(Meta meta) throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(VERSION).packString(meta.identity().value());
      packer.packLong(meta.hardState().term());
      packer.packString(meta.hardState().vote().map(MemberIdentity::value).orElse(""));
      return packer.toByteArray();
    }
  }

  static Meta unpackMeta(byte[] payload) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
      checkVersion(unpacker);
      MemberIdentity identity = new MemberIdentity(unpacker.unpackString());
      long term = unpacker.unpackLong();
      String vote = unpacker.unpackString();
      return new Meta(
          identity,
          new HardState(
              term, vote.isEmpty() ? Optional.empty() : Optional.of(new MemberIdentity(vote))));
    } catch (MessagePackException | IllegalArgumentException e) {
      throw new IOException("unreadable meta record", e);
    }
  }

  static byte[] packEntries(List<LogEntry> entries) throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packLong(entries.get(0).index()).packArrayHeader(entries.size());
      for (LogEntry entry : entries) {
        packer.packLong(entry.term()).packInt(entry.kind().code());
        packer.packBinaryHeader(entry.data().length).writePayload(entry.data());
      }
      return packer.toByteArray();
    }
  }

  static List<LogEntry> unpackEntries(byte[] payload) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
      long index = unpacker.unpackLong();
      int count = unpacker.unpackArrayHeader();
      List<LogEntry> entries = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        long term = unpacker.unpackLong();
        EntryKind kind = EntryKind.ofCode(unpacker.unpackInt());
        byte[] data = unpacker.readPayload(unpacker.unpackBinaryHeader());
        entries.add(new LogEntry(index + i, term, kind, data));
      }
      return entries;
    } catch (MessagePackException | IllegalArgumentException | IndexOutOfBoundsException e) {
      throw new IOException("unreadable entries record", e);
    }
  }

  static byte[] packSnapshot(Snapshot snapshot) throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(VERSION).packLong(snapshot.index()).packLong(snapshot.term());
      packer.packBinaryHeader(snapshot.membership().length).writePayload(snapshot.membership());
      packer.packBinaryHeader(snapshot.data().length).writePayload(snapshot.data());
      return packer.toByteArray();
    }
  }

  static Snapshot unpackSnapshot(byte[] payload) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
      checkVersion(unpacker);
      long index = unpacker.unpackLong();
      long term = unpacker.unpackLong();
      byte[] membership = unpacker.readPayload(unpacker.unpackBinaryHeader());
      byte[] data = unpacker.readPayload(unpacker.unpackBinaryHeader());
      return new Snapshot(index, term, membership, data);
    } catch (MessagePackException | IllegalArgumentException e) {
      throw new IOException("unreadable snapshot record", e);
    }
  }

  private static void checkVersion(MessageUnpacker unpacker) throws IOException {
    int version = unpacker.unpackInt();
    if (version != VERSION) {
      throw new IOException("format version " + version + " is not supported");
    }
  }
}
