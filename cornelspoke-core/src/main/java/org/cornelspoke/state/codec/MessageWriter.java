package org.cornelspoke.state.codec;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Consumer;
import org.cornelspoke.util.Assert;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Writes the fields of one MessagePack message. The limits are those of {@link MessageReader}:
 * every message that can be written can be read, so that no member of the control group finds a
 * command in its log that it cannot decode.
 *
 * <p>Not thread-safe.
 */
public final class MessageWriter {

  /** Maximum length of a string in UTF-16 code units. */
  public static final int MAX_TEXT_CHARS = 16_384;

  /** Maximum length of a byte array. */
  public static final int MAX_BYTES = 16 << 20;

  private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

  /** Writes the header of an array with the given number of fields. */
  public MessageWriter array(int size) {
    return write(() -> packer.packArrayHeader(size));
  }

  /** Writes an integer. */
  public MessageWriter number(long value) {
    return write(() -> packer.packLong(value));
  }

  /** Writes a floating-point number. */
  public MessageWriter real(double value) {
    return write(() -> packer.packDouble(value));
  }

  /** Writes a boolean. */
  public MessageWriter flag(boolean value) {
    return write(() -> packer.packBoolean(value));
  }

  /**
   * Writes a string.
   *
   * @throws IllegalArgumentException if the string is null or longer than {@link #MAX_TEXT_CHARS}
   */
  public MessageWriter text(String value) {
    Assert.notNull(value, "text");
    Assert.isTrue(value.length() <= MAX_TEXT_CHARS, "text must have at most 16384 characters");
    return write(() -> packer.packString(value));
  }

  /**
   * Writes a byte array.
   *
   * @throws IllegalArgumentException if the array is longer than {@link #MAX_BYTES}
   */
  public MessageWriter bytes(byte[] value) {
    Assert.isTrue(value.length <= MAX_BYTES, "bytes must be at most 16 MiB");
    return write(
        () -> {
          packer.packBinaryHeader(value.length);
          packer.writePayload(value);
        });
  }

  /** Writes the ordinal of an enum constant; the order of the constants must never change. */
  public <E extends Enum<E>> MessageWriter enumConstant(E value, E[] values) {
    return number(Arrays.asList(values).indexOf(value));
  }

  /** Writes an array, calling {@code elementWriter} once per item. */
  public <T> MessageWriter list(Collection<? extends T> items, Consumer<T> elementWriter) {
    array(items.size());
    items.forEach(elementWriter);
    return this;
  }

  /** Writes an optional value as an array of at most one element. */
  public <T> MessageWriter optional(Optional<? extends T> value, Consumer<T> elementWriter) {
    array(value.isPresent() ? 1 : 0);
    value.ifPresent(elementWriter);
    return this;
  }

  /** Returns the encoded message. */
  public byte[] toByteArray() {
    return packer.toByteArray();
  }

  private MessageWriter write(PackOperation operation) {
    try {
      operation.run();
      return this;
    } catch (IOException e) {
      throw new UncheckedIOException("write to an in-memory buffer failed", e);
    }
  }

  private interface PackOperation {
    void run() throws IOException;
  }
}
