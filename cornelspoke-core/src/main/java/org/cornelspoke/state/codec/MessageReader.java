package org.cornelspoke.state.codec;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.cornelspoke.util.Assert;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the fields of one MessagePack message and checks the type and length of each. A declared
 * length is compared with the number of remaining bytes before memory is allocated for it.
 *
 * <p>Not thread-safe.
 */
public final class MessageReader {

  private final MessageUnpacker unpacker;
  private final int totalBytes;

  private MessageReader(byte[] message) {
    this.unpacker = MessagePack.newDefaultUnpacker(message);
    this.totalBytes = message.length;
  }

  /**
   * Decodes a complete message.
   *
   * @throws MalformedMessageException if a field is missing, has an unexpected type or violates a
   *     rule of its value type, or if the message has trailing bytes
   */
  public static <T> T decode(byte[] message, Function<MessageReader, T> decoder) {
    Assert.notNull(message, "message");
    MessageReader reader = new MessageReader(message);
    try {
      T result = decoder.apply(reader);
      if (reader.remaining() != 0) {
        throw new MalformedMessageException("bytes are left over after the message");
      }
      return result;
    } catch (MalformedMessageException e) {
      throw e;
    } catch (MessagePackException | IllegalArgumentException e) {
      throw new MalformedMessageException("a field breaks its rule: " + e.getMessage(), e);
    }
  }

  /** Reads an array header and checks that the array has exactly the given number of fields. */
  public void array(int size) {
    int actual = arraySize();
    if (actual != size) {
      throw new MalformedMessageException("array must have " + size + " fields: " + actual);
    }
  }

  /** Reads an array header and returns the size of the array. */
  public int arraySize() {
    int size = read(unpacker::unpackArrayHeader);
    // Each element takes at least one byte.
    if (size > remaining()) {
      throw new MalformedMessageException("array is longer than the message");
    }
    return size;
  }

  /** Reads a 64-bit integer. */
  public long number() {
    return read(unpacker::unpackLong);
  }

  /** Reads a 32-bit integer. */
  public int integer() {
    return read(unpacker::unpackInt);
  }

  /** Reads a 64-bit floating-point number. */
  public double real() {
    return read(unpacker::unpackDouble);
  }

  /** Reads a boolean. */
  public boolean flag() {
    return read(unpacker::unpackBoolean);
  }

  /** Reads a UTF-8 string. */
  public String text() {
    String value =
        read(
            () -> {
              int length = unpacker.unpackRawStringHeader();
              return new String(readPayload(length), StandardCharsets.UTF_8);
            });
    if (value.length() > MessageWriter.MAX_TEXT_CHARS) {
      throw new MalformedMessageException("text must have at most 16384 characters");
    }
    return value;
  }

  /** Reads a byte array. */
  public byte[] bytes() {
    return read(() -> readPayload(unpacker.unpackBinaryHeader()));
  }

  /** Reads an array, calling {@code elementReader} once per element. */
  public <T> List<T> list(Supplier<T> elementReader) {
    int size = arraySize();
    List<T> result = new ArrayList<>(Math.min(size, 1_024));
    for (int i = 0; i < size; i++) {
      result.add(elementReader.get());
    }
    return result;
  }

  /** Reads an optional value, encoded as an array of at most one element. */
  public <T> Optional<T> optional(Supplier<T> elementReader) {
    int size = arraySize();
    if (size > 1) {
      throw new MalformedMessageException("an optional field must have at most one element");
    }
    return size == 0 ? Optional.empty() : Optional.of(elementReader.get());
  }

  /** Reads the ordinal of an enum constant and returns the constant. */
  public <E extends Enum<E>> E enumConstant(E[] values) {
    int ordinal = integer();
    if (ordinal < 0 || ordinal >= values.length) {
      throw new MalformedMessageException("unknown constant: " + ordinal);
    }
    return values[ordinal];
  }

  /** Returns an exception for a type code that this version does not know. */
  public static MalformedMessageException unknownType(String typeName, long code) {
    return new MalformedMessageException("unknown " + typeName + " type: " + code);
  }

  private byte[] readPayload(int length) throws IOException {
    if (length > remaining()) {
      throw new MalformedMessageException("field is longer than the message");
    }
    return unpacker.readPayload(length);
  }

  private long remaining() {
    return totalBytes - unpacker.getTotalReadBytes();
  }

  private static <T> T read(UnpackOperation<T> operation) {
    try {
      return operation.run();
    } catch (IOException e) {
      throw new MalformedMessageException("message ends early", e);
    }
  }

  private interface UnpackOperation<T> {
    T run() throws IOException;
  }
}
