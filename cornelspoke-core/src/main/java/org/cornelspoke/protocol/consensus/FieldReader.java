package org.cornelspoke.protocol.consensus;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.cornelspoke.state.log.MemberIdentity;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Reads the fields of one frame. Validates each length before allocating memory for it. */
final class FieldReader implements AutoCloseable {

  private static final int MAX_TEXT_BYTES = 1024;

  private final int frameBytes;
  private final MessageUnpacker unpacker;

  FieldReader(byte[] frame) {
    this.frameBytes = frame.length;
    this.unpacker = MessagePack.newDefaultUnpacker(frame);
  }

  private interface Field<T> {
    T read() throws IOException;
  }

  int readInt() throws MalformedFrameException {
    return read(unpacker::unpackInt);
  }

  long readLong() throws MalformedFrameException {
    return read(unpacker::unpackLong);
  }

  /** Reads an index, term, round or offset, none of which may be negative. */
  long readNonNegative() throws MalformedFrameException {
    long value = readLong();
    if (value < 0) {
      throw new MalformedFrameException("number must be 0 or more: " + value, null);
    }
    return value;
  }

  boolean readBoolean() throws MalformedFrameException {
    return read(unpacker::unpackBoolean);
  }

  String readText() throws MalformedFrameException {
    return read(
        () -> {
          int length = checkLength(unpacker.unpackRawStringHeader(), MAX_TEXT_BYTES);
          return new String(unpacker.readPayload(length), StandardCharsets.UTF_8);
        });
  }

  MemberIdentity readIdentity() throws MalformedFrameException {
    return new MemberIdentity(readText());
  }

  byte[] readBinary() throws MalformedFrameException {
    return read(() -> unpacker.readPayload(checkLength(unpacker.unpackBinaryHeader(), frameBytes)));
  }

  int readArrayLength() throws MalformedFrameException {
    return read(() -> checkLength(unpacker.unpackArrayHeader(), frameBytes));
  }

  void checkEnd() throws MalformedFrameException {
    if (read(unpacker::hasNext)) {
      throw new MalformedFrameException("unexpected bytes after the last field", null);
    }
  }

  @Override
  public void close() throws MalformedFrameException {
    try {
      unpacker.close();
    } catch (IOException e) {
      throw new MalformedFrameException("unreadable frame", e);
    }
  }

  private int checkLength(int length, int limit) throws MalformedFrameException {
    if (length < 0 || length > limit || length > frameBytes - unpacker.getTotalReadBytes()) {
      throw new MalformedFrameException("length out of range: " + length, null);
    }
    return length;
  }

  private static <T> T read(Field<T> field) throws MalformedFrameException {
    try {
      return field.read();
    } catch (MalformedFrameException e) {
      throw e;
    } catch (IOException | MessagePackException e) {
      throw new MalformedFrameException("unreadable field", e);
    }
  }
}
