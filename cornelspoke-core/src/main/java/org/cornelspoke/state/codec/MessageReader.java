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
 * Reads the fields of one message and checks type and length of each. Lengths are compared with the
 * bytes that are there before memory is allocated.
 *
 * <p>Not safe for use by several threads.
 */
public final class MessageReader {

  private final MessageUnpacker unpacker;
  private final int totalBytes;

  private MessageReader(byte[] message) {
    this.unpacker = MessagePack.newDefaultUnpacker(message);
    this.totalBytes = message.length;
  }

  /**
   * Decodes a whole message.
   *
   * @throws MalformedMessageException if a field has another type, breaks a rule of its value type,
   *     is missing, or if bytes are left over
   */
  public static <T> T decode(byte[] message, Function<MessageReader, T> body) {
    Assert.notNull(message, "message");
    MessageReader reader = new MessageReader(message);
    try {
      T result = body.apply(reader);
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

  /** Starts an array that must have exactly the given number of fields. */
  public void array(int size) {
    int actual = arraySize();
    if (actual != size) {
      throw new MalformedMessageException("array must have " + size + " fields: " + actual);
    }
  }

  /** Starts an array and returns its size. */
  public int arraySize() {
    int size = read(unpacker::unpackArrayHeader);
    // Each element takes a byte at least.
    if (size > remaining()) {
      throw new MalformedMessageException("array is longer than the message");
    }
    return size;
  }

  /** Reads a whole number. */
  public long number() {
    return read(unpacker::unpackLong);
  }

  /** Reads a whole number of 32 bits. */
  public int integer() {
    return read(unpacker::unpackInt);
  }

  /** Reads a floating-point number. */
  public double real() {
    return read(unpacker::unpackDouble);
  }

  /** Reads a truth value. */
  public boolean flag() {
    return read(unpacker::unpackBoolean);
  }

  /** Reads a text. */
  public String text() {
    String value =
        read(
            () -> {
              int length = unpacker.unpackRawStringHeader();
              return new String(payload(length), StandardCharsets.UTF_8);
            });
    if (value.length() > MessageWriter.MAX_TEXT_CHARS) {
      throw new MalformedMessageException("text must have at most 16384 characters");
    }
    return value;
  }

  /** Reads bytes. */
  public byte[] bytes() {
    return read(() -> payload(unpacker.unpackBinaryHeader()));
  }

  /** Reads an array, element by element. */
  public <T> List<T> list(Supplier<T> element) {
    int size = arraySize();
    List<T> result = new ArrayList<>(Math.min(size, 1_024));
    for (int i = 0; i < size; i++) {
      result.add(element.get());
    }
    return result;
  }

  /** Reads an array of no or one element. */
  public <T> Optional<T> optional(Supplier<T> element) {
    int size = arraySize();
    if (size > 1) {
      throw new MalformedMessageException("an optional field must have at most one element");
    }
    return size == 0 ? Optional.empty() : Optional.of(element.get());
  }

  /** Reads the position of a constant and returns the constant. */
  public <E extends Enum<E>> E constant(E[] values) {
    int ordinal = integer();
    if (ordinal < 0 || ordinal >= values.length) {
      throw new MalformedMessageException("unknown constant: " + ordinal);
    }
    return values[ordinal];
  }

  /** Returns an exception for a type number that this version does not know. */
  public static MalformedMessageException unknownType(String what, long type) {
    return new MalformedMessageException("unknown " + what + " type: " + type);
  }

  private byte[] payload(int length) throws IOException {
    if (length > remaining()) {
      throw new MalformedMessageException("field is longer than the message");
    }
    return unpacker.readPayload(length);
  }

  private long remaining() {
    return totalBytes - unpacker.getTotalReadBytes();
  }

  private static <T> T read(Step<T> step) {
    try {
      return step.run();
    } catch (IOException e) {
      throw new MalformedMessageException("message ends early", e);
    }
  }

  private interface Step<T> {
    T run() throws IOException;
  }
}
